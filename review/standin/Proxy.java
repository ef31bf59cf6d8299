import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections to one address. It can be cut: then connections are reset and new ones are closed at once. */
final class Proxy {
    final String address;
    private final String target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Proxy(String target) throws IOException {
        this.target = target;
        int port = Http.freePort();
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 64);
        address = "127.0.0.1:" + port;
        Http.thread(() -> {
            while (true) {
                Socket from = server.accept();
                Http.thread(() -> forward(from));
            }
        });
    }

    /** Cuts the link by resets, or mends it. */
    void cut(boolean on) {
        cut = on;
        if (on) {
            open.forEach(Proxy::reset);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private void forward(Socket from) throws IOException {
        if (cut) {
            reset(from);
            return;
        }
        Socket to = new Socket();
        try {
            int colon = target.lastIndexOf(':');
            to.connect(new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))), 1000);
        } catch (IOException e) {
            reset(from);
            return;
        }
        from.setTcpNoDelay(true);
        to.setTcpNoDelay(true);
        open.add(from);
        open.add(to);
        Http.thread(() -> copy(from, to));
        copy(to, from);
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
                out.flush();
            }
        } catch (IOException e) {
            // Ended.
        }
        open.remove(from);
        open.remove(to);
        reset(from);
        reset(to);
    }
}
