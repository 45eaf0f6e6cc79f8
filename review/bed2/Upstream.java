import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/** Stand-in of an upstream: slots, a small queue, an identity that is checked, signed answers, and its entry. */
class Upstream {
    /** A request that began to run. */
    static final class Run {
        final String id;
        final long at;
        final String target;

        Run(String id, long at, String target) {
            this.id = id;
            this.at = at;
            this.target = target;
        }
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final long born = System.currentTimeMillis();
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    volatile long workMs = 150;
    volatile String state = "ready";
    private final Record record;
    private final ServerSocket listener;
    private final Semaphore free;
    private final Semaphore places;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private int sequence;

    Upstream(String id, String service, String zone, String host, int slots, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.record = record;
        free = new Semaphore(slots, true);
        places = new Semaphore(slots * 4);
        listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Bed.daemon(id, this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns the next entry that this upstream writes. */
    synchronized String entry() {
        sequence++;
        return "{\"address\":" + Json.quote(address()) + ",\"born\":" + born + ",\"info\":{\"service\":" + Json.quote(service)
            + ",\"zone\":" + Json.quote(zone) + ",\"version\":\"v1\",\"slots\":" + slots + "},\"status\":{\"state\":\""
            + state + "\",\"sequence\":" + sequence + ",\"cold_remaining_ms\":0}}";
    }

    int sequence() {
        return sequence;
    }

    /** Ends the upstream: its connections close, whatever they carry. */
    void stop() throws IOException {
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Bed.daemon(id + "-connection", () -> {
                try (socket) {
                    serve(socket);
                }
            });
        }
    }

    /** Serves a connection until it ends. */
    void serve(Socket socket) throws Exception {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Message request = Message.read(in, false); request != null; request = Message.read(in, false)) {
            answer(request, out);
        }
    }

    void answer(Message request, OutputStream out) throws Exception {
        String requestId = request.field("X-Request-Id");
        String expected = request.field("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            send(out, 421, requestId, "X-Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (requestId == null) {
            send(out, 400, "", "X-Not-Executed: 1\r\n", new byte[0]);
        } else if (!places.tryAcquire()) {
            send(out, 503, requestId, "X-Not-Executed: 1\r\n", new byte[0]);
        } else {
            try {
                free.acquire();
                try {
                    run(request, requestId);
                } finally {
                    free.release();
                }
            } finally {
                places.release();
            }
            send(out, 200, requestId, "X-Response-Signature: s-" + requestId + "\r\n", bodyOf(requestId));
        }
    }

    void run(Message request, String requestId) throws Exception {
        runs.add(new Run(requestId, record.now(), request.target()));
        record.add("run by " + id + ": " + request.method() + " " + request.target() + " " + requestId);
        Thread.sleep(workMs);
    }

    static byte[] bodyOf(String requestId) {
        return ("body of " + requestId + "\n").repeat(20).getBytes(StandardCharsets.ISO_8859_1);
    }

    void send(OutputStream out, int status, String requestId, String fields, byte[] body) throws IOException {
        int running = slots - free.availablePermits();
        byte[] head = ("HTTP/1.1 " + status + " -\r\nX-Request-Id: " + requestId + "\r\nX-Server-Load: " + running + ",0,"
            + slots + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
