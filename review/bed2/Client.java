import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with one kept connection to one gateway; it opens another when the gateway closes it. */
final class Client {
    /** What became of a request. */
    static final class Answer {
        final String id;
        final String gateway;
        final long sentAt;
        final long endedAt;
        /** Status, or 0 without a complete answer. */
        final int status;
        final boolean isOwn;

        Answer(String id, String gateway, long sentAt, long endedAt, int status, boolean isOwn) {
            this.id = id;
            this.gateway = gateway;
            this.sentAt = sentAt;
            this.endedAt = endedAt;
            this.status = status;
            this.isOwn = isOwn;
        }
    }

    private static final AtomicInteger numbers = new AtomicInteger();
    private final Bed.Gateway gateway;
    private final Record record;
    /** Fields that all requests carry besides. */
    String fields = "";
    private Socket socket;
    private BufferedInputStream in;

    Client(Bed.Gateway gateway, Record record) {
        this.gateway = gateway;
        this.record = record;
    }

    /** Sends one request and waits for its answer for [deadlineMs]. */
    Answer call(String method, String path, byte[] body, int deadlineMs) {
        String id = String.format("c%06d", numbers.incrementAndGet());
        long sentAt = record.now();
        record.add("sent to " + gateway.name + ": " + method + " " + path + " " + id);
        int status = 0;
        boolean isOwn = false;
        try {
            if (socket == null) {
                socket = new Socket(gateway.host, gateway.caller);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(deadlineMs + 300);
            socket.getOutputStream().write(request(method, path, id, body, deadlineMs, fields));
            Message answer = Message.read(in, true);
            if (answer == null) {
                close();
            } else {
                status = answer.status();
                isOwn = id.equals(answer.field("X-Request-Id")) && ("s-" + id).equals(answer.field("X-Response-Signature"))
                    && Arrays.equals(answer.body, Upstream.bodyOf(id));
                if ("close".equalsIgnoreCase(answer.field("Connection"))) close();
            }
        } catch (IOException e) {
            close();
        }
        record.add("answer from " + gateway.name + " to " + id + ": " + (status == 0 ? "none" : status));
        return new Answer(id, gateway.name, sentAt, record.now(), status, isOwn);
    }

    static byte[] request(String method, String path, String id, byte[] body, int deadlineMs, String fields) {
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Affinity-Key: " + id.hashCode() % 40 + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + fields
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // Closed already.
        }
        socket = null;
    }
}
