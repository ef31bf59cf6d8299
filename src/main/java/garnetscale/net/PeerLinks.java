package garnetscale.net;

import garnetscale.peer.PeerCodec;
import garnetscale.peer.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends messages to the other controllers, the peers, and receives theirs. Each controller opens a connection to every peer and
 * sends over it; peers send over the connections that they open. A message on a broken link is lost; if it is needed, the sender
 * must send it again. Also serves operators' requests, which arrive on the same port. Confined to one event loop.
 */
public final class PeerLinks {

    /** Handles the requests of operators. */
    public interface OperatorRequestHandler {
        /** Answers a request by calling {@code answer} once on the event loop. */
        void answer(PeerMessage.OperatorRequest request, Consumer<PeerMessage.OperatorResponse> answer);
    }

    /** The size of the length field before each message. */
    private static final int LENGTH_BYTES = 4;

    private static final int MAX_FRAME_BYTES = 4 << 20;
    /** The link to a slow peer is closed once more than this many bytes wait to be written. */
    private static final int MAX_PENDING_BYTES = 1 << 20;
    /** An accepted connection is closed if nothing arrives on it for this long; peers send a heartbeat every second. */
    private static final int READ_TIMEOUT_S = 20;

    private static final int MAX_WRITES_PER_FLUSH = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** The delay before the first attempt to reconnect a broken link. */
    private static final long RECONNECT_DELAY_MS = 30;
    /** The delay after a failed attempt to connect. */
    private static final long RETRY_DELAY_MS = 700;

    private final EventLoopGroup loop;
    private final PeerCodec codec = new PeerCodec();
    private final Map<String, Channel> links = new HashMap<>();
    private final Consumer<PeerMessage> receiver;
    private final OperatorRequestHandler operatorRequests;
    private final Consumer<String> onLinkUp;
    private final Consumer<String> onLinkRefused;

    /**
     * Creates the links; {@link #listen} and {@link #connect} open connections.
     *
     * @param receiver      receives the messages of peers
     * @param onLinkUp      receives a peer's name each time a link to it is established
     * @param onLinkRefused receives a peer's name when its link broke and the first attempt to reconnect is refused or times
     *     out. A refusal usually means that the peer's process is down, but occasionally there are other causes.
     */
    public PeerLinks(
            EventLoopGroup loop,
            Consumer<PeerMessage> receiver,
            OperatorRequestHandler operatorRequests,
            Consumer<String> onLinkUp,
            Consumer<String> onLinkRefused) {
        this.loop = loop;
        this.operatorRequests = operatorRequests;
        this.receiver = receiver;
        this.onLinkUp = onLinkUp;
        this.onLinkRefused = onLinkRefused;
    }

    // ---- incoming connections

    /** Starts to listen. The future fails if the address is in use. */
    public ChannelFuture listen(String hostPort) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(READ_TIMEOUT_S),
                                        new LengthFieldBasedFrameDecoder(
                                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                                        new LengthFieldPrepender(LENGTH_BYTES),
                                        new Incoming());
                    }
                })
                .bind(HttpClient.address(hostPort));
    }

    private final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
            PeerMessage message = codec.decode(ByteBufUtil.getBytes(frame));
            if (message instanceof PeerMessage.OperatorRequest request) {
                operatorRequests.answer(
                        request, answer -> ctx.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(answer))));
            } else {
                receiver.accept(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---- outgoing connections

    /** Connects to a peer, and reconnects whenever the link breaks, for as long as the process runs. */
    public void connect(String peer, String hostPort) {
        connect(peer, hostPort, false);
    }

    /**
     * Starts one attempt to connect.
     *
     * @param afterBreak whether this is the first attempt since the link broke. Only then is a refusal reported, since it is the
     *     strongest sign that the peer's process is down.
     */
    private void connect(String peer, String hostPort, boolean afterBreak) {
        new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        // Combines the messages of one cycle into one write, since each write costs a system call.
                        channel.pipeline()
                                .addLast(
                                        new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true),
                                        new LengthFieldPrepender(LENGTH_BYTES),
                                        new Outgoing());
                    }
                })
                .connect(HttpClient.address(hostPort))
                .addListener((ChannelFutureListener) attempt -> onConnectEnded(peer, hostPort, afterBreak, attempt));
    }

    private static final class Outgoing extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void onConnectEnded(String peer, String hostPort, boolean afterBreak, ChannelFuture attempt) {
        if (!attempt.isSuccess()) {
            if (afterBreak && attempt.cause() instanceof ConnectException) {
                onLinkRefused.accept(peer);
            }
            connectLater(peer, hostPort, RETRY_DELAY_MS, false);
            return;
        }
        Channel link = attempt.channel();
        links.put(peer, link);
        link.closeFuture().addListener(closed -> {
            links.remove(peer, link);
            connectLater(peer, hostPort, RECONNECT_DELAY_MS, true);
        });
        onLinkUp.accept(peer);
    }

    private void connectLater(String peer, String hostPort, long delayMs, boolean afterBreak) {
        loop.next().schedule(() -> connect(peer, hostPort, afterBreak), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a message to a peer. Returns false and drops the message if the link is down or too many bytes wait to be written to
     * it. In the latter case, also closes the link.
     */
    public boolean send(String peer, PeerMessage message) {
        Channel link = links.get(peer);
        if (link == null || !link.isActive()) {
            return false;
        }
        ChannelOutboundBuffer pending = link.unsafe().outboundBuffer();
        if (pending != null && pending.totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            link.close();
            return false;
        }
        link.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
        return true;
    }

    /** Sends a message to every peer whose link is up. */
    public void sendAll(PeerMessage message) {
        for (String peer : links.keySet().toArray(new String[0])) {
            send(peer, message);
        }
    }
}
