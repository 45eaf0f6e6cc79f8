import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small deployment: a store, backend servers of two services, gateways, and callers that send steady traffic. */
final class Deployment {
    static final int READ_TIMEOUT_MS = 1_000;
    static final int BOOK_TIMEOUT_MS = 1_200;
    static final int READ_DEADLINE_MS = 2_500;
    static final int BOOK_DEADLINE_MS = 3_000;
    /** Time without disruption after which a machine is in touch. */
    static final long STABLE_WINDOW_MS = 4_000;

    /** Represents a request; [answeredAtMs] is negative when no answer came. */
    record Sent(String id, String gateway, boolean isBooking, long atMs, long answeredAtMs, int status) {}

    final Harness harness;
    final Store store;
    final List<Upstream> readers = new ArrayList<>();
    final List<Upstream> bookers = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    /** Time at which a caller first got an answer with Server-Leaving, by the gateway that passed it on. */
    final Map<String, Long> leavingSeenAtMs = new ConcurrentHashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean isEnded;

    /** Starts the store, [servers] servers of each service and [gatewayCount] gateways, and waits until they serve. */
    Deployment(Harness harness, int servers, int gatewayCount, Store store, String storeAddress) throws IOException {
        this.harness = harness;
        this.store = store;
        Map<String, String> zones = Map.of("z-a", "r-1");
        for (int index = 0; index < servers; index++) {
            readers.add(harness.keep(new Upstream(harness, "i-5ead000" + index, "stan", "127.81.2." + (1 + index), 8)));
            bookers.add(harness.keep(new Upstream(harness, "i-b00c000" + index, "zapis", "127.81.3." + (1 + index), 8)));
        }
        store.put("op", "config", Desired.of(3, "stan", "zapis"));
        for (Upstream server : all()) {
            server.workMs = 100;
            store.put("servers", server.name, server.entry("z-a", "ready", 1));
        }
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(harness.keep(
                new Gateway(harness, "front-" + index, "z-a", "127.81.1." + (1 + index), storeAddress, zones)));
        }
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) {
            if (!Harness.await(20_000, () -> gateway.probe() == 200)) throw new IOException(gateway.name + " isn't ready");
        }
        harness.note("all gateways are ready");
    }

    List<Upstream> all() {
        List<Upstream> servers = new ArrayList<>(readers);
        servers.addAll(bookers);
        return servers;
    }

    /** Starts [callers] callers of each gateway that send a request every [gapMs], reads and bookings in turn. */
    void startTraffic(int callers, int gapMs) {
        for (Gateway gateway : gateways) {
            for (int index = 0; index < callers; index++) {
                String prefix = gateway.name + "-" + index + "-";
                long startMs = (long) gapMs * index / callers;
                threads.submit(() -> {
                    Harness.sleep(startMs);
                    for (int number = 0; !isEnded; number++) {
                        int next = number;
                        threads.submit(() -> send(gateway, prefix + next, next % 2 == 1));
                        Harness.sleep(gapMs);
                    }
                });
            }
        }
    }

    /** Sends one request on a connection of its own and waits for the answer as long as its deadline allows. */
    Sent send(Gateway gateway, String id, boolean isBooking) {
        long atMs = harness.nowMs();
        int deadlineMs = isBooking ? BOOK_DEADLINE_MS : READ_DEADLINE_MS;
        Map<String, String> fields = Map.of("X-Deadline-Ms", Integer.toString(deadlineMs),
            "X-Affinity-Key", Integer.toString(new Random().nextInt(64)));
        Sent result;
        try (Caller caller = new Caller(harness, gateway.host, gateway.caller)) {
            Message answer = isBooking ? caller.call("POST", "/book/2f", id, fields, "a booking", deadlineMs)
                : caller.call("GET", "/read/2f", id, fields, deadlineMs);
            result = new Sent(id, gateway.name, isBooking, atMs, harness.nowMs(), answer.status());
            if (answer.fields.containsKey("Server-Leaving")) {
                leavingSeenAtMs.putIfAbsent(gateway.name, result.answeredAtMs());
            }
        } catch (IOException e) {
            result = new Sent(id, gateway.name, isBooking, atMs, -1, 0);
        }
        sent.add(result);
        return result;
    }

    /** Ends the traffic and waits for the last answers. */
    void endTraffic() {
        isEnded = true;
        Harness.sleep(BOOK_DEADLINE_MS + 1_000);
    }

    /**
     * Applies the rule CONFIG: of the requests that are still unanswered at the timeout of their route, more than half
     * have no answer half a second later. Requests sent before [fromMs] don't count.
     */
    boolean isConfigBroken(long fromMs) {
        int atTimeout = 0;
        int later = 0;
        int all = 0;
        for (Sent request : sent) {
            if (request.atMs() < fromMs) continue;
            all++;
            int timeoutMs = request.isBooking() ? BOOK_TIMEOUT_MS : READ_TIMEOUT_MS;
            long tookMs = request.answeredAtMs() < 0 ? Long.MAX_VALUE : request.answeredAtMs() - request.atMs();
            if (tookMs > timeoutMs) atTimeout++;
            if (tookMs > timeoutMs + 500) later++;
        }
        harness.note("requests " + all + ", unanswered at the route's timeout " + atTimeout
            + ", of these without an answer half a second later " + later);
        return later * 2 > atTimeout;
    }
}
