import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * DRAIN: an upstream reports that it is draining, and an entry that it wrote before, whose answer was lost, is performed
 * some seconds late. See review/7/claim.txt.
 */
final class LateEntry {
    private static final long HEARTBEAT_MS = 1_500;
    private static final long DRAIN_MS = 2_000;
    private static final long STABLE_MS = 3_000;
    /** The late write is done this long after it was sent; the pages name 1 to 6 s. */
    private static final long LATE_MS = 5_500;
    /** The upstream exits a little later than it has to serve. */
    private static final long EXITS_AFTER_MS = DRAIN_MS + 800;
    private static final String[] ZONES = {"sofia-a", "plovdiv-a", "varna-a"};

    public static void main(String[] args) throws Exception {
        Bed.begin();
        Path folder = Path.of(args[0]);
        boolean isTroubled = !args[1].equals("0");
        Path temporary = Files.createTempDirectory("review-late-entry");
        Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store("127.71.0.1");
        store.put("op", "config", Desired2.config(1, Desired2.route("order", "/order/", "non_idempotent", "orders")));

        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            upstreams.add(new Upstream("u-" + i, "orders", ZONES[i % 3], "127.71.2." + (i + 1), 4, record));
        }
        for (Upstream upstream : upstreams) store.put("servers", upstream.id, upstream.entry());
        List<Bed.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Bed.Gateway gateway =
                new Bed.Gateway("g-" + i, ZONES[i], "127.71.1." + (i + 1), store.address(), temporary, "");
            gateways.add(gateway);
            gateway.start();
        }
        for (Bed.Gateway gateway : gateways) gateway.awaitReady();
        Thread.sleep(4_000);

        Queue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 12; i++) {
            Client client = new Client(gateways.get(i % 3), record);
            Bed.daemon("client-" + i, () -> {
                while (true) {
                    answers.add(client.call("POST", "/order/a", "quote".getBytes(), 1_500));
                    Thread.sleep(30);
                }
            });
        }
        for (Upstream upstream : upstreams.subList(1, 6)) {
            Bed.daemon("heartbeat", () -> {
                while (true) {
                    Thread.sleep(HEARTBEAT_MS);
                    store.put("servers", upstream.id, upstream.entry());
                }
            });
        }

        Upstream leaving = upstreams.get(0);
        Thread.sleep(HEARTBEAT_MS);
        String sent = leaving.entry();
        if (isTroubled) {
            record.say(leaving.id + " writes the entry " + leaving.sequence() + " (ready); the answer is lost");
            Bed.daemon("late", () -> {
                Thread.sleep(LATE_MS);
                store.put("servers", leaving.id, sent);
                record.say("the store performs the write of the entry 2 (ready) that it got " + LATE_MS + " ms ago");
            });
        } else {
            store.put("servers", leaving.id, sent);
        }
        for (int i = 0; i < 2; i++) {
            Thread.sleep(HEARTBEAT_MS);
            store.put("servers", leaving.id, leaving.entry());
            record.say(leaving.id + " writes the entry " + leaving.sequence() + " (ready), acknowledged");
        }
        Thread.sleep(STABLE_MS + 200 - 2 * HEARTBEAT_MS);
        leaving.state = "draining";
        store.put("servers", leaving.id, leaving.entry());
        long acknowledgedAt = record.now();
        record.say(leaving.id + " writes the entry " + leaving.sequence() + " (draining), acknowledged");
        Thread.sleep(HEARTBEAT_MS);
        store.put("servers", leaving.id, leaving.entry());
        record.say(leaving.id + " writes the entry " + leaving.sequence() + " (draining), acknowledged");
        Thread.sleep(Math.max(0, acknowledgedAt + EXITS_AFTER_MS - record.now()));
        leaving.stop();
        store.put("servers", leaving.id, null);
        record.say(leaving.id + " exits; its entry is removed");
        Thread.sleep(2_000);

        long late = 0;
        long firstAt = -1;
        long lastAt = -1;
        for (Upstream.Run run : leaving.runs) {
            if (run.at <= acknowledgedAt + DRAIN_MS) continue;
            if (late++ == 0) firstAt = run.at;
            lastAt = run.at;
        }
        Set<String> runHere = leaving.runs.stream().map(run -> run.id).collect(Collectors.toSet());
        long lost = answers.stream().filter(answer -> answer.status != 200 && runHere.contains(answer.id)).count();
        long served = answers.stream().filter(answer -> answer.status == 200).count();
        record.say(served + " of " + answers.size() + " requests served");
        record.say(late + " requests reached " + leaving.id + " more than " + DRAIN_MS + " ms after the acknowledgement"
            + (late > 0 ? ", " + (firstAt - acknowledgedAt) + " to " + (lastAt - acknowledgedAt) + " ms after it" : ""));
        record.say(lost + " orders began to run there and were not answered with their result");
        boolean wasUsed = leaving.runs.stream().anyMatch(run -> run.at < acknowledgedAt);
        for (Bed.Gateway gateway : gateways) if (!gateway.isRunning()) Bed.exit(2);
        Bed.exit(!wasUsed || served < answers.size() / 2 ? 2 : late > 0 ? 1 : 0);
    }
}
