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
 * One connection to each other controller, for what this one says; what the others say comes in by theirs. A
 * message on a broken link is lost: whoever needs it says it again.
 */
public final class PeerLinks {

    /** Answers operators, on the event loop, by calling back once. */
    public interface Inspector {
        void answer(PeerMessage.OperatorRequest inquiry, Consumer<PeerMessage.OperatorResponse> answer);
    }

    private static final int MAX_FRAME = 4 << 20;
    /** Bytes that may wait for a slow peer before its link is given up. */
    private static final int MAX_WAITING = 1 << 20;

    private static final int SILENT_S = 5;
    private static final int MOST_HELD = 256;

    private final EventLoopGroup loop;
    private final PeerCodec codec = new PeerCodec();
    private final Map<String, Channel> links = new HashMap<>();
    private final Consumer<PeerMessage> receiver;
    private final Inspector inspector;
    private final Consumer<String> connected;
    private final Consumer<String> refused;

    /**
     * Calls {@code connected} with a node's name whenever a link to it is new, and {@code refused} when a link
     * broke and the node refuses the next at once, as it does while its process is down (and at times otherwise).
     */
    public PeerLinks(
            EventLoopGroup loop,
            Consumer<PeerMessage> receiver,
            Inspector inspector,
            Consumer<String> connected,
            Consumer<String> refused) {
        this.loop = loop;
        this.inspector = inspector;
        this.receiver = receiver;
        this.connected = connected;
        this.refused = refused;
    }

    public ChannelFuture listen(String hostPort) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(4 * SILENT_S),
                                        new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4),
                                        new LengthFieldPrepender(4),
                                        new Incoming());
                    }
                })
                .bind(HttpClient.address(hostPort));
    }

    private final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
            PeerMessage message = codec.decode(ByteBufUtil.getBytes(frame));
            if (message instanceof PeerMessage.OperatorRequest inquiry) {
                inspector.answer(inquiry, answer -> ctx.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(answer))));
            } else {
                receiver.accept(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Keeps a link to the node up, for as long as the process lives. */
    public void connect(String node, String hostPort) {
        connect(node, hostPort, false);
    }

    private void connect(String node, String hostPort, boolean again) {
        new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        // What one turn says goes out with one write: each costs a system call.
                        ch.pipeline()
                                .addLast(
                                        new FlushConsolidationHandler(MOST_HELD, true),
                                        new LengthFieldPrepender(4),
                                        new ChannelInboundHandlerAdapter() {
                                            @Override
                                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                                ctx.close();
                                            }
                                        });
                    }
                })
                .connect(HttpClient.address(hostPort))
                .addListener((ChannelFutureListener) f -> {
                    if (!f.isSuccess()) {
                        if (again && f.cause() instanceof ConnectException) {
                            refused.accept(node);
                        }
                        later(node, hostPort, 700, false);
                        return;
                    }
                    Channel c = f.channel();
                    links.put(node, c);
                    c.closeFuture().addListener(closed -> {
                        links.remove(node, c);
                        later(node, hostPort, 30, true);
                    });
                    connected.accept(node);
                });
    }

    private void later(String node, String hostPort, long ms, boolean again) {
        loop.next().schedule(() -> connect(node, hostPort, again), ms, TimeUnit.MILLISECONDS);
    }

    /** Sends to a node if its link is up; false if it isn't. */
    public boolean send(String node, PeerMessage message) {
        Channel c = links.get(node);
        if (c == null || !c.isActive()) {
            return false;
        }
        if (c.unsafe().outboundBuffer() != null && c.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_WAITING) {
            c.close();
            return false;
        }
        c.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
        return true;
    }

    public void sendAll(PeerMessage message) {
        for (String node : links.keySet().toArray(new String[0])) {
            send(node, message);
        }
    }
}
