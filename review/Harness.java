import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the platform's store, backend servers and callers, and the start of gateway processes. */
final class Harness implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final int PORT_ATTEMPTS = 1_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private final long startedNs = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    final Path repository;
    final Path folder;
    final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));

    /** Creates the harness of the case in [folder], which receives the record. */
    Harness(Path folder) throws IOException {
        this.folder = folder.toAbsolutePath().normalize();
        this.repository = this.folder.getParent().getParent();
        this.record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt"), StandardCharsets.ISO_8859_1), true);
        note("trouble " + (isTroubled ? "on" : "off"));
    }

    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
    }

    <T extends AutoCloseable> T keep(T item) {
        open.add(item);
        return item;
    }

    @Override
    public void close() {
        List<AutoCloseable> items = new ArrayList<>(open);
        java.util.Collections.reverse(items);
        for (AutoCloseable item : items) {
            try {
                item.close();
            } catch (Exception e) {
                note("close failed: " + e);
            }
        }
        record.flush();
    }

    /** Runs a case and exits with its result. */
    static void run(String[] arguments, Case body) throws Exception {
        Harness harness = new Harness(Path.of(arguments[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(harness::close));
        int result;
        try {
            result = body.run(harness);
        } catch (Exception e) {
            harness.note("the case could not run: " + e);
            e.printStackTrace();
            result = NOT_RUN;
        }
        String[] words = {"held", "BROKEN", "could not run"};
        harness.note("result: " + words[result]);
        System.out.println("result: " + words[result]);
        System.exit(result);
    }

    interface Case {
        int run(Harness harness) throws Exception;
    }

    /** Returns a port of [host] that is free for TCP and UDP, outside the range that the system gives to clients. */
    static synchronized int freePort(String host) throws IOException {
        for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            if (!USED_PORTS.add(port)) continue;
            InetSocketAddress address = new InetSocketAddress(host, port);
            try (ServerSocket tcp = new ServerSocket(); DatagramSocket udp = new DatagramSocket(address)) {
                tcp.bind(address);
                return port;
            } catch (BindException e) {
                // Another process has the port.
            }
        }
        throw new IOException("no free port");
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until [isTrue] holds; returns false after [limitMs]. */
    static boolean await(long limitMs, java.util.function.BooleanSupplier isTrue) {
        long endNs = System.nanoTime() + limitMs * 1_000_000;
        while (!isTrue.getAsBoolean()) {
            if (System.nanoTime() > endNs) return false;
            sleep(20);
        }
        return true;
    }
}

/** The platform's store: tables of rows with one version counter and a feed of changes. */
final class Store implements AutoCloseable {
    private static final Pattern PUT = Pattern.compile(
        "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"\\}");

    private record Row(String table, String part, String key, String value, long version) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    final String address;
    /** Returns true for a call that is refused with 503; receives the caller's address and the path. */
    volatile java.util.function.BiPredicate<String, String> refuses = (caller, path) -> false;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        address = "127.0.0.1:" + server.getAddress().getPort();
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    synchronized long put(String table, String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        return write(new Row(table, "", key, value, ++version));
    }

    synchronized long remove(String table, String key) {
        return write(new Row(table, "", key, null, ++version));
    }

    synchronized boolean contains(String table, String key) {
        return rows.containsKey(table + "\n" + key);
    }

    private long write(Row row) {
        String name = row.table() + "\n" + row.key();
        if (row.value() == null) rows.remove(name); else rows.put(name, row);
        history.add(row);
        notifyAll();
        return row.version();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String caller = exchange.getRemoteAddress().getAddress().getHostAddress();
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = new LinkedHashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String pair : text == null ? new String[0] : text.split("&")) {
                int at = pair.indexOf('=');
                query.put(pair.substring(0, at), pair.substring(at + 1));
            }
            if (refuses.test(caller, path)) {
                respond(exchange, 503, "{}");
                return;
            }
            switch (path) {
                case "/rows-get" -> respond(exchange, 200, read(query.get("table"), query.getOrDefault("from", "")));
                case "/rows-feed" -> {
                    String changes = feed(query.get("table"), Long.parseLong(query.get("after")),
                        Long.parseLong(query.getOrDefault("wait_ms", "0")), caller, path);
                    if (changes == null) respond(exchange, 503, "{}"); else respond(exchange, 200, changes);
                }
                case "/rows-tx" -> respond(exchange, 200, apply(new String(body, StandardCharsets.UTF_8)));
                default -> respond(exchange, 404, "{}");
            }
        }
    }

    private synchronized String read(String table, String from) {
        List<Row> found = rows.values().stream()
            .filter(row -> row.table().equals(table) && row.key().compareTo(from) >= 0).toList();
        return encode(found);
    }

    private synchronized String feed(String table, long after, long waitMs, String caller, String path) {
        long endNs = System.nanoTime() + Math.min(waitMs, 30_000) * 1_000_000;
        while (true) {
            if (refuses.test(caller, path)) return null;
            Map<String, Row> changed = new LinkedHashMap<>();
            for (Row row : history) {
                if (row.table().equals(table) && row.version() > after) {
                    changed.remove(row.key());
                    changed.put(row.key(), row);
                }
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) return encode(new ArrayList<>(changed.values()));
            try {
                wait(Math.min(leftMs, 50));
            } catch (InterruptedException e) {
                return null;
            }
        }
    }

    private synchronized String apply(String json) {
        Matcher puts = PUT.matcher(json);
        version++;
        while (puts.find()) write(new Row(puts.group(1), puts.group(2), puts.group(3), puts.group(4), version));
        return "{\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
    }

    private String encode(List<Row> found) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : found) {
            if (text.charAt(text.length() - 1) != '[') text.append(',');
            text.append("{\"table\":\"").append(row.table()).append("\",\"part\":\"").append(row.part())
                .append("\",\"key\":\"").append(row.key()).append("\",");
            if (row.value() == null) text.append("\"tombstone\":true");
            else text.append("\"value\":\"").append(row.value()).append('"');
            text.append(",\"ver\":").append(row.version()).append('}');
        }
        return text.append("],\"truncated\":false,\"ver\":").append(version).append(",\"now_ms\":")
            .append(System.nanoTime() / 1_000_000).append('}').toString();
    }

    private void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.getResponseHeaders().add("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}

/** An HTTP/1.1 message. */
final class Message {
    final String start;
    final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    private Message(String start) {
        this.start = start;
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String target() {
        return start.split(" ")[1];
    }

    /** Reads a message; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message message = new Message(start);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(message.fields.getOrDefault("Content-Length", "0"));
        message.body = in.readNBytes(length);
        if (message.body.length < length) throw new EOFException("the body is cut off");
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next != '\n') {
            if (next < 0) throw new EOFException("the head is cut off");
            if (next != '\r') line.write(next);
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

/** A backend server. It runs the requests that name it, [slots] at a time, and rejects others with 421. */
final class Upstream implements AutoCloseable {
    /** Represents the arrival of a request. */
    record Arrival(String id, long atMs, boolean hasRun, String start) {}

    private final Harness harness;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private ServerSocket listener;
    private final AtomicInteger running = new AtomicInteger();
    private final java.util.concurrent.Semaphore free;
    final String name;
    final String service;
    final String address;
    final int slots;
    volatile long born = System.currentTimeMillis();
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    volatile long workMs = 50;
    /** True while the server is cold: its requests take twice as long. */
    volatile boolean isCold;
    /** True when the server is leaving and says so in its answers. */
    volatile boolean isLeaving;

    Upstream(Harness harness, String name, String service, String host, int slots) throws IOException {
        this.harness = harness;
        this.name = name;
        this.service = service;
        this.slots = slots;
        this.free = new java.util.concurrent.Semaphore(slots, true);
        listen(host, 0);
        address = host + ":" + listener.getLocalPort();
    }

    private void listen(String host, int port) throws IOException {
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new InetSocketAddress(host, port), 200);
        listener = next;
        threads.submit(() -> accept(next));
    }

    /** Crashes the server: its port is closed and its connections are reset. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Starts the server again under its name and address. */
    void restart() throws IOException {
        int colon = address.indexOf(':');
        listen(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Returns the entry of this server in the store. */
    String entry(String zone, String state, int sequence) {
        return "{\"address\":\"" + address + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + slots + "},\"status\":{\"state\":\""
            + state + "\",\"sequence\":" + sequence + ",\"cold_remaining_ms\":" + (isCold ? 3_000 : 0) + "}}";
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket socket = current.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                threads.submit(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                out.write(answer(request));
                out.flush();
            }
        } catch (IOException e) {
            // The caller closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private byte[] answer(Message request) {
        String id = request.fields.getOrDefault("X-Request-Id", "");
        String expected = request.fields.get("X-Expect-Instance");
        boolean isOther = expected != null && !expected.equals(name);
        arrivals.add(new Arrival(id, harness.nowMs(), !isOther, request.start));
        if (isOther) return encode(421, id, "", "");
        harness.note("run " + id + " at " + name + " " + request.start.replace(" HTTP/1.1", ""));
        free.acquireUninterruptibly();
        running.incrementAndGet();
        try {
            Harness.sleep(isCold ? 2 * workMs : workMs);
        } finally {
            running.decrementAndGet();
            free.release();
        }
        String load = "X-Server-Load: " + running.get() + ",0," + slots + "\r\n";
        return encode(200, id, "X-Response-Signature: s-" + id + "\r\n" + load, "body of " + id + " for " + request.target() + "\n");
    }

    private byte[] encode(int status, String id, String fields, String body) {
        return ("HTTP/1.1 " + status + " x\r\nX-Request-Id: " + id + "\r\nX-Instance-Id: " + name + "\r\n" + fields
            + (isLeaving ? "Server-Leaving: 1\r\n" : "") + "Content-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Ends the server: closes its port and all connections at once. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) socket.close();
        threads.shutdownNow();
    }
}

/** A gateway process, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    final Harness harness;
    final String name;
    final String host;
    final int caller;
    final int ready;
    final int directory;
    final Path log;
    private final Path settings;
    private Process process;

    Gateway(Harness harness, String name, String zone, String host, String store, Map<String, String> zones)
        throws IOException {
        this.harness = harness;
        this.name = name;
        this.host = host;
        caller = Harness.freePort(host);
        ready = Harness.freePort(host);
        directory = Harness.freePort(host);
        Path temporary = Files.createTempDirectory("review");
        log = temporary.resolve(name + ".log");
        settings = temporary.resolve(name + ".yaml");
        int first = Harness.freePort(host);
        int last = Harness.freePort(host);
        StringBuilder text = new StringBuilder("instance: \"" + name + "\"\nzone: \"" + zone + "\"\nzones:\n");
        zones.forEach((key, region) ->
            text.append("  - { name: \"").append(key).append("\", region: \"").append(region).append("\" }\n"));
        text.append("addresses:\n  caller: \"").append(host).append(':').append(caller)
            .append("\"\n  ready: \"").append(host).append(':').append(ready)
            .append("\"\n  directory: \"").append(host).append(':').append(directory)
            .append("\"\n  store: \"").append(store).append("\"\n  host: \"").append(host)
            .append("\"\ninternalPorts: [").append(Math.min(first, last)).append(", ").append(Math.max(first, last))
            .append("]\nbounds:\n  stopS: 6\n  retryRatio: 0.2\n  retryAllowance: 64\n  retryWindowS: 10\n"
                + "  largestShift: 0.15\n");
        Files.writeString(settings, text);
    }

    void start() throws IOException {
        String deploy = Files.readString(harness.repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no command in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(harness.repository.toFile());
        builder.environment().put("CARDAMOMWHARF_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        harness.note("start " + name + " process " + process.pid());
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    Process process() {
        return process;
    }

    /** Returns the processor time that the process has used, in milliseconds. */
    long processorMs() {
        return process.toHandle().info().totalCpuDuration().map(java.time.Duration::toMillis).orElse(0L);
    }

    /** Sends the process a signal by its name. */
    void signal(String signal) throws IOException, InterruptedException {
        harness.note("signal " + signal + " to " + name);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    /** Returns the status of the readiness probe, or 0 without an answer within a second. */
    int probe() {
        try (Caller caller = new Caller(harness, host, ready)) {
            return caller.call("GET", "/readyz", "", Map.of(), 1_000).status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        Files.deleteIfExists(log);
        Files.deleteIfExists(settings);
        Files.deleteIfExists(settings.getParent());
    }
}

/** A connection of a caller. */
final class Caller implements AutoCloseable {
    private final Harness harness;
    final Socket socket;
    private final InputStream in;
    private final String host;

    Caller(Harness harness, String host, int port) throws IOException {
        this.harness = harness;
        this.host = host;
        socket = new Socket();
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String head(String method, String path, String host, String id, Map<String, String> fields, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        if (!id.isEmpty()) head.append("X-Request-Id: ").append(id).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (length > 0) head.append("Content-Length: ").append(length).append("\r\n");
        return head.append("\r\n").toString();
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Message read(long limitMs) throws IOException {
        socket.setSoTimeout((int) Math.max(1, limitMs));
        Message answer = Message.read(in);
        if (answer == null) throw new EOFException("closed without an answer");
        return answer;
    }

    /** Sends a request and returns the answer; throws when none arrives within [limitMs]. */
    Message call(String method, String path, String id, Map<String, String> fields, long limitMs) throws IOException {
        return call(method, path, id, fields, "", limitMs);
    }

    Message call(String method, String path, String id, Map<String, String> fields, String body, long limitMs)
        throws IOException {
        if (!id.isEmpty()) harness.note("send " + id + " " + method + " " + path);
        try {
            write(head(method, path, "app.example", id, fields, body.length()) + body);
            Message answer = read(limitMs);
            if (!id.isEmpty()) harness.note("answer " + id + " " + answer.status());
            return answer;
        } catch (IOException e) {
            if (!id.isEmpty()) harness.note("no answer " + id + " " + e);
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
