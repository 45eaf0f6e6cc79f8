import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: rows with one version counter, reads, the feed and transactions. */
final class Store {
    private static final class Row {
        final String table;
        final String key;
        final String value;
        final long version;

        Row(String table, String key, String value, long version) {
            this.table = table;
            this.key = key;
            this.value = value;
            this.version = version;
        }

        String json() {
            return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + ",\"ver\":" + version
                + (value == null ? ",\"tombstone\":true}" : ",\"value\":\"" + value + "\"}");
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final ServerSocket listener;
    private final long startedAt = System.nanoTime();
    private long version = 1;
    private int era = 1;
    private volatile boolean isAway;

    Store(String host) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Bed.daemon("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a row and returns its version; null removes it. */
    synchronized long put(String table, String key, String value) {
        version++;
        String encoded = value == null ? null
            : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        record(new Row(table, key, encoded, version));
        notifyAll();
        return version;
    }

    /** A copy of the contents. */
    static final class Copy {
        private final TreeMap<String, Row> rows;
        private final long version;

        private Copy(TreeMap<String, Row> rows, long version) {
            this.rows = rows;
            this.version = version;
        }
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(rows), version);
    }

    /** Takes no calls until [restore]. */
    void leave() {
        isAway = true;
    }

    /** Comes back from [copy]: what was written since is gone, and versions are given out again. */
    synchronized void restore(Copy copy) {
        rows.clear();
        rows.putAll(copy.rows);
        history.removeIf(row -> row.version > copy.version);
        version = copy.version;
        era++;
        isAway = false;
        notifyAll();
    }

    private void record(Row row) {
        if (row.value == null) rows.remove(row.table + "\n" + row.key);
        else rows.put(row.table + "\n" + row.key, row);
        history.add(row);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Bed.daemon("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message call = Message.read(in, false); call != null; call = Message.read(in, false)) {
                Thread.sleep(4);
                StringBuilder body = new StringBuilder();
                int status = isAway ? 503 : answer(call, body);
                byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nStore-Era: " + era + "\r\n"
                    + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException e) {
            // The caller has closed its connection.
        }
    }

    private int answer(Message call, StringBuilder body) throws InterruptedException {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String part : target[1].split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        switch (target[0]) {
            case "/rows-get": return get(query, body);
            case "/rows-feed": return feed(query, body);
            case "/rows-tx": return change(new String(call.body, StandardCharsets.UTF_8), body);
            default: return 404;
        }
    }

    private synchronized int get(Map<String, String> query, StringBuilder body) {
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        String from = query.getOrDefault("from", "");
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.table.equals(query.get("table")) && row.key.compareTo(from) >= 0) found.add(row);
        }
        boolean isTruncated = found.size() > limit;
        write(isTruncated ? found.subList(0, limit) : found, isTruncated, body);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, StringBuilder body) throws InterruptedException {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long endsAt = System.nanoTime() + 1_000_000L * Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        if (after > version) return 410;
        while (true) {
            Map<String, Row> newest = new TreeMap<>();
            for (Row row : history) {
                if (row.version > after && row.table.equals(query.get("table"))) newest.put(row.key, row);
            }
            long remainingMs = (endsAt - System.nanoTime()) / 1_000_000;
            if (!newest.isEmpty() || remainingMs <= 0) {
                List<Row> changes = new ArrayList<>(newest.values());
                changes.sort((a, b) -> Long.compare(a.version, b.version));
                write(changes, false, body);
                return 200;
            }
            wait(remainingMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized int change(String text, StringBuilder body) {
        Map<String, Object> change = (Map<String, Object>) Json.parse(text);
        for (Object each : (List<Object>) change.getOrDefault("expected", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            Row known = rows.get(row.get("table") + "\n" + row.get("key"));
            if ((known == null ? 0 : known.version) != ((Double) row.get("ver")).longValue()) {
                body.append("{\"rows\":[],\"ver\":").append(version).append("}");
                return 412;
            }
        }
        version++;
        for (Object each : (List<Object>) change.getOrDefault("put", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            if (row.get("table").equals("op") || row.get("table").equals("servers")) return 403;
            record(new Row((String) row.get("table"), (String) row.get("key"), (String) row.get("value"), version));
        }
        for (Object each : (List<Object>) change.getOrDefault("remove", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            record(new Row((String) row.get("table"), (String) row.get("key"), null, version));
        }
        notifyAll();
        write(List.of(), false, body);
        return 200;
    }

    private void write(List<Row> found, boolean isTruncated, StringBuilder body) {
        body.append("{\"rows\":[");
        for (int i = 0; i < found.size(); i++) body.append(i > 0 ? "," : "").append(found.get(i).json());
        body.append("],\"truncated\":").append(isTruncated).append(",\"ver\":").append(version)
            .append(",\"now_ms\":").append((System.nanoTime() - startedAt) / 1_000_000).append("}");
    }
}
