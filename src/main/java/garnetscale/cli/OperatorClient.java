package garnetscale.cli;

import garnetscale.net.HttpClient;
import garnetscale.peer.PeerCodec;
import garnetscale.peer.PeerMessage;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;

/** Sends operators' requests to a controller, at the address where it also accepts other controllers' connections. */
final class OperatorClient {

    /** More than the largest answer, which is that for a job with 100,000 placed tasks. */
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final String address;
    private final int timeoutMs;

    OperatorClient(String address, int timeoutMs) {
        this.address = address;
        this.timeoutMs = timeoutMs;
    }

    /**
     * Sends a request and waits for the answer. The timeout applies to the connect and to each read on its own.
     *
     * @throws IOException if the address is malformed, the controller is down, doesn't answer in time or sends anything other
     *     than an answer
     */
    PeerMessage.OperatorResponse send(PeerMessage.OperatorRequest request) throws IOException {
        PeerCodec codec = new PeerCodec();
        try (Socket socket = new Socket()) {
            socket.connect(HttpClient.address(address), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] requestBytes = codec.encode(request);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(requestBytes.length);
            out.write(requestBytes);
            out.flush();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > MAX_ANSWER_BYTES) {
                throw new IOException("an answer of " + length + " bytes");
            }
            if (codec.decode(in.readNBytes(length)) instanceof PeerMessage.OperatorResponse answer) {
                return answer;
            }
            throw new IOException("not an answer");
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException("not an address like 10.0.0.1:8081", e);
        }
    }
}
