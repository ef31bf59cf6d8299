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
 * One connection to each other controller, for what this one sends; what the others send comes by theirs. A message on a
 * broken link is lost: whoever needs it sends it again. Lives on one event loop.
 */
public final class PeerLinks {

    /** Answers operators. */
    public interface Inspector {
        /** Answers a request by calling back once, on the event loop. */
        void answer(PeerMessage.OperatorRequest request, Consumer<PeerMessage.OperatorResponse> answer);
    }

    /** Each message follows its length in so many bytes. */
    private static final int LENGTH_BYTES = 4;

    private static final int MAX_FRAME_BYTES = 4 << 20;
    /** Bytes that may wait for a slow peer before its link is closed. */
    private static final int MAX_PENDING_BYTES = 1 << 20;
    /** A connection that nothing comes by for so long is closed; heartbeats come every second. */
    private static final int READ_TIMEOUT_S = 20;

    private static final int MAX_WRITES_PER_FLUSH = 256;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** The pause before a link that broke is connected again. */
    private static final long RECONNECT_DELAY_MS = 30;
    /** The pause after an attempt to connect that failed. */
    private static final long RETRY_DELAY_MS = 700;

    private final EventLoopGroup loop;
    private final PeerCodec codec = new PeerCodec();
    private final Map<String, Channel> links = new HashMap<>();
    private final Consumer<PeerMessage> receiver;
    private final Inspector inspector;
    private final Consumer<String> onLinkUp;
    private final Consumer<String> onLinkRefused;

    /**
     * Calls {@code onLinkUp} with a controller's name whenever a link to it is new, and {@code onLinkRefused} when a link broke
     * and the controller refuses the next at once, as it does while its process is down (and at times otherwise).
     */
    public PeerLinks(
            EventLoopGroup loop,
            Consumer<PeerMessage> receiver,
            Inspector inspector,
            Consumer<String> onLinkUp,
            Consumer<String> onLinkRefused) {
        this.loop = loop;
        this.inspector = inspector;
        this.receiver = receiver;
        this.onLinkUp = onLinkUp;
        this.onLinkRefused = onLinkRefused;
    }

    // ---- what the others send

    /** Starts to listen; the future fails when the address is in use. */
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
                inspector.answer(request, answer -> ctx.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(answer))));
            } else {
                receiver.accept(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    // ---- what this one sends

    /** Keeps a link to the controller up, for as long as the process lives. */
    public void connect(String controller, String hostPort) {
        connect(controller, hostPort, false);
    }

    /** {@code afterBreak} is true for the first attempt after a link broke: a refusal then says most. */
    private void connect(String controller, String hostPort, boolean afterBreak) {
        new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        // What one cycle sends goes out with one write: each costs a system call.
                        channel.pipeline()
                                .addLast(
                                        new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true),
                                        new LengthFieldPrepender(LENGTH_BYTES),
                                        new Outgoing());
                    }
                })
                .connect(HttpClient.address(hostPort))
                .addListener(
                        (ChannelFutureListener) attempt -> onConnectEnded(controller, hostPort, afterBreak, attempt));
    }

    private static final class Outgoing extends ChannelInboundHandlerAdapter {

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void onConnectEnded(String controller, String hostPort, boolean afterBreak, ChannelFuture attempt) {
        if (!attempt.isSuccess()) {
            if (afterBreak && attempt.cause() instanceof ConnectException) {
                onLinkRefused.accept(controller);
            }
            connectLater(controller, hostPort, RETRY_DELAY_MS, false);
            return;
        }
        Channel link = attempt.channel();
        links.put(controller, link);
        link.closeFuture().addListener(closed -> {
            links.remove(controller, link);
            connectLater(controller, hostPort, RECONNECT_DELAY_MS, true);
        });
        onLinkUp.accept(controller);
    }

    private void connectLater(String controller, String hostPort, long delayMs, boolean afterBreak) {
        loop.next().schedule(() -> connect(controller, hostPort, afterBreak), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Sends to a controller if its link is up; false if it isn't, and the message is lost. */
    public boolean send(String controller, PeerMessage message) {
        Channel link = links.get(controller);
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

    /** Sends to every controller whose link is up. */
    public void sendAll(PeerMessage message) {
        for (String controller : links.keySet().toArray(new String[0])) {
            send(controller, message);
        }
    }
}
