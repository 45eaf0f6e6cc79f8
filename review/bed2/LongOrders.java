import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a gateway with a grace of 10 s is stopped with SIGTERM, and one in 33 orders takes seven times as long as the
 * others. See review/6/claim.txt.
 */
final class LongOrders {
    private static final int GRACE_MS = 10_000;
    private static final int WORK_MS = 800;
    private static final int LONG_WORK_MS = 7 * WORK_MS;
    private static final int LONG_ONE_IN = 33;
    private static final int DEADLINE_MS = 10_000;
    /** The longest time-out of a route on the site. */
    private static final int ROUTE_TIMEOUT_MS = 8_000;
    private static final int UPSTREAMS = 36;
    private static final int CLIENTS = 72;
    /** Time for which clients go on with the addresses of an answer of the directory: three times its 2 s. */
    private static final int OLD_ADDRESSES_MS = 6_000;
    private static final String[] ZONES = {"sofia-a", "plovdiv-a", "varna-a"};

    /** An upstream that takes longer for some orders. */
    private static final class LongUpstream extends Upstream {
        private static final AtomicInteger numbers = new AtomicInteger();
        final Map<String, Long> endsAt = new ConcurrentHashMap<>();
        final Map<String, Boolean> answered = new ConcurrentHashMap<>();
        private final Record record;

        LongUpstream(int number, Record record) throws IOException {
            super("u-" + number, "orders", ZONES[number % 3], "127.72.2." + (number + 1), 9, record);
            this.record = record;
        }

        @Override
        void run(Message request, String requestId) throws Exception {
            boolean isLong = numbers.incrementAndGet() % LONG_ONE_IN == 0;
            workMs = isLong ? LONG_WORK_MS : WORK_MS;
            long work = workMs;
            endsAt.put(requestId, record.now() + work);
            runs.add(new Run(requestId, record.now(), request.target()));
            record.add("run by " + id + ": " + requestId + " for " + work + " ms");
            Thread.sleep(work);
            record.add("done by " + id + ": " + requestId);
        }
    }

    public static void main(String[] args) throws Exception {
        Bed.begin();
        Path folder = Path.of(args[0]);
        boolean isTroubled = !args[1].equals("0");
        Path temporary = Files.createTempDirectory("review-long-orders");
        Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store("127.72.0.1");
        store.put("op", "config",
            Desired2.config(1, Desired2.route("order", "/order/", "non_idempotent", "orders", ROUTE_TIMEOUT_MS)));
        List<LongUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            LongUpstream upstream = new LongUpstream(i, record);
            upstreams.add(upstream);
            store.put("servers", upstream.id, upstream.entry());
            Bed.daemon("heartbeat", () -> {
                while (true) {
                    Thread.sleep(1_500);
                    store.put("servers", upstream.id, upstream.entry());
                }
            });
        }
        List<Bed.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Bed.Gateway gateway = new Bed.Gateway("g-" + i, ZONES[i], "127.72.1." + (i + 1), store.address(), temporary,
                "", GRACE_MS / 1_000);
            gateways.add(gateway);
            gateway.start();
        }
        for (Bed.Gateway gateway : gateways) gateway.awaitReady();
        Thread.sleep(4_000);

        Queue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        long[] leaveAt = {Long.MAX_VALUE};
        boolean[] isOver = {false};
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Bed.daemon("client-" + i, () -> {
                Thread.sleep(number * 13L);
                Client client = new Client(gateways.get(0), record);
                while (!isOver[0] && record.now() < leaveAt[0]) {
                    Client.Answer answer = client.call("POST", "/order/a", ("quote " + number).getBytes(), DEADLINE_MS);
                    answers.add(answer);
                    // A client whose connection was refused goes to another gateway.
                    if (answer.status == 0) return;
                    if (answer.status != 200) Thread.sleep(500);
                }
            }));
        }
        Thread.sleep(15_000);
        long stoppedAt = record.now();
        if (isTroubled) {
            gateways.get(0).signal("TERM");
            record.say("SIGTERM to g-0");
        }
        leaveAt[0] = stoppedAt + OLD_ADDRESSES_MS;
        for (Thread thread : threads) thread.join(20_000);
        isOver[0] = true;
        Thread.sleep(500);
        record.say("g-0 " + (gateways.get(0).isRunning() ? "runs" : "has ended") + ", " + (record.now() - stoppedAt)
            + " ms after SIGTERM was due");

        int lost = 0;
        int excused = 0;
        for (Client.Answer answer : answers) {
            if (answer.status != 0) continue;
            Long endsAt = upstreams.stream().map(upstream -> upstream.endsAt.get(answer.id))
                .filter(found -> found != null).findFirst().orElse(null);
            if (endsAt == null) continue;
            boolean isExcused = answer.sentAt - stoppedAt <= 3_000 && endsAt - stoppedAt > GRACE_MS * 5 / 6;
            boolean isInTime = answer.endedAt < answer.sentAt + ROUTE_TIMEOUT_MS;
            record.say("order " + answer.id + ": sent " + (answer.sentAt - stoppedAt) + " ms after SIGTERM, work due "
                + (endsAt - stoppedAt) + " ms after it, connection ended " + (answer.endedAt - stoppedAt)
                + " ms after it without an answer" + (isExcused ? " (excused)" : ""));
            if (isExcused || !isInTime) excused++;
            else lost++;
        }
        long served = answers.stream().filter(answer -> answer.status == 200 && answer.isOwn).count();
        record.say(served + " of " + answers.size() + " orders served; " + lost
            + " were passed on and their connection ended without an answer, " + excused + " more are excused");
        Bed.exit(served < answers.size() / 2 ? 2 : lost > 0 ? 1 : 0);
    }
}
