import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A small HTTP/1.1 server and client over loopback, one thread a connection. */
final class Http {
    /** An answer; status 0 stands for no answer, that is, a closed connection. */
    record Answer(int status, byte[] body) {
        static final Answer NONE = new Answer(0, new byte[0]);

        static Answer of(int status, Object body) {
            return new Answer(status, Cbor.write(body));
        }

        Object field(String name) {
            try {
                return Cbor.readMap(body).get(name);
            } catch (IOException | RuntimeException e) {
                return null;
            }
        }
    }

    interface Handler {
        Answer handle(String method, String path, byte[] body) throws Exception;
    }

    private Http() {}

    /** The next port to try: each run has a block of its own, below the ports that the system takes for connections. */
    private static int nextPort = 12000 + (int) (ProcessHandle.current().pid() % 180) * 100;

    /** Finds a free port that this run hasn't used yet. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = nextPort++;
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (IOException e) {
                // In use: the next one may be free.
            }
        }
        throw new IOException("no free port");
    }

    /** Serves requests on a free loopback port and returns the address. */
    static String serve(Handler handler) throws IOException {
        int port = freePort();
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        thread(() -> {
            while (true) {
                Socket socket = server.accept();
                thread(() -> serve(socket, handler));
            }
        });
        return "127.0.0.1:" + port;
    }

    interface Work {
        void run() throws Exception;
    }

    static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The connection has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String first = line(in);
                if (first == null) {
                    return;
                }
                String[] parts = first.split(" ");
                Head head = head(in);
                Answer answer = handler.handle(parts[0], parts[1], head.read(in));
                if (answer == null || answer.status() == 0) {
                    return;
                }
                out.write(message("HTTP/1.1 " + answer.status() + " X\r\n", answer.body(), ""));
                out.flush();
                if (head.close) {
                    return;
                }
            }
        }
    }

    private static byte[] message(String first, byte[] body, String headers) {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes((first + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        return message.toByteArray();
    }

    private static final class Head {
        int length;
        boolean close;

        byte[] read(InputStream in) throws IOException {
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException();
            }
            return body;
        }
    }

    private static Head head(InputStream in) throws IOException {
        Head head = new Head();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                head.length = Integer.parseInt(lower.substring(15).trim());
            } else if (lower.startsWith("connection:")) {
                head.close = lower.contains("close");
            }
        }
        return head;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(c);
        }
        return null;
    }

    /** Sends one request over a connection of its own. */
    static Answer call(String address, String method, String path, byte[] body, int timeoutMs) {
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            int colon = address.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(timeoutMs, 500));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            socket.getOutputStream()
                    .write(message(
                            method + " " + path + " HTTP/1.1\r\n",
                            body == null ? new byte[0] : body,
                            "Host: " + address + "\r\nConnection: close\r\n"));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) {
                return Answer.NONE;
            }
            return new Answer(Integer.parseInt(first.split(" ")[1]), head(in).read(in));
        } catch (IOException | RuntimeException e) {
            return Answer.NONE;
        }
    }
}
