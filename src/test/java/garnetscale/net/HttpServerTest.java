package garnetscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the server with TCP connections on loopback, over which requests arrive in parts and several at once. */
class HttpServerTest {

    private EventLoopGroup loop;
    private int port;

    @BeforeEach
    void start() {
        loop = new NioEventLoopGroup(1);
        port = listen(new ConnectionLimiter(12));
    }

    /** Starts a server that echoes every body, and returns its port. */
    private int listen(ConnectionLimiter limiter) {
        ChannelFuture listening = new HttpServer(
                        loop, limiter, 16, (method, path, body, answer) -> answer.accept(new Reply(200, body, 2)))
                .listen("127.0.0.1:0")
                .awaitUninterruptibly();
        return ((InetSocketAddress) listening.channel().localAddress()).getPort();
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static String firstLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    @Test
    void aRequestMayArriveByteByByte() throws IOException {
        try (Socket socket = connect()) {
            OutputStream out = socket.getOutputStream();
            for (byte b : "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                    .getBytes(StandardCharsets.US_ASCII)) {
                out.write(b);
                out.flush();
            }
            assertEquals("HTTP/1.1 200 OK", firstLine(socket));
        }
    }

    @Test
    void aBodyOver64KiBIsMalformed() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write("POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 400 Bad Request", firstLine(socket));
        }
    }

    /** A body may arrive in chunks, and several requests in one packet: each is answered in order, with its own body. */
    @Test
    void requestsInOnePacketAreAnsweredInOrder() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(
                            ("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
                                            + "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nde"
                                            + "POST /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            List<String> bodies = new ArrayList<>();
            for (String part : all.split("HTTP/1.1 200 OK")) {
                if (!part.isEmpty()) {
                    bodies.add(part.substring(part.indexOf("\r\n\r\n") + 4));
                }
            }
            assertEquals(List.of("abc", "de", ""), bodies);
        }
    }

    @Test
    void chunksOver64KiBAreMalformed() throws IOException {
        try (Socket socket = connect()) {
            String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
            socket.getOutputStream()
                    .write(("POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(2)
                                    + "1\r\nx\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 400 Bad Request", firstLine(socket));
        }
    }

    @Test
    void expect100ContinueIsAnswered() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(("POST /v2/runs HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            assertEquals("HTTP/1.1 100 Continue", firstLine(socket));
        }
    }

    /** Users above the limit replace idle connections of other users; a worker's connection stays open. */
    @Test
    void excessUsersDoNotReplaceWorkers() throws IOException {
        byte[] heartbeat =
                "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        List<Socket> users = new ArrayList<>();
        try (Socket worker = connect()) {
            worker.getOutputStream().write(heartbeat);
            assertEquals("HTTP/1.1 200 OK", firstLine(worker));
            for (int i = 0; i < 8; i++) {
                users.add(connect());
            }
            assertEquals(-1, users.get(0).getInputStream().read());
            worker.getOutputStream().write(heartbeat);
            assertTrue(worker.getInputStream().read() > 0);
        } finally {
            for (Socket socket : users) {
                socket.close();
            }
        }
    }

    /** There may be more workers than sockets: each is answered, and its connection closed to free the socket for the next. */
    @Test
    void workersTakeTurnsWhenSocketsAreScarce() throws IOException {
        int scarcePort = listen(new ConnectionLimiter(12, 0.5));
        List<Socket> open = new ArrayList<>();
        try {
            for (int i = 0; i < 40; i++) {
                Socket worker = new Socket("127.0.0.1", scarcePort);
                worker.setSoTimeout(20_000);
                open.add(worker);
                worker.getOutputStream()
                        .write("POST /hello HTTP/1.1\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("HTTP/1.1 200 OK", firstLine(worker), "worker " + i);
            }
        } finally {
            for (Socket worker : open) {
                worker.close();
            }
        }
    }
}
