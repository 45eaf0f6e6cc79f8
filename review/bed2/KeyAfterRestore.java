import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * CONFIG (strict_revoke): a key is taken away, the store comes back from a copy of before, and a gateway that was stopped as
 * planned starts again before the operator has written the desired state again. See the claim.
 */
final class KeyAfterRestore {
    private static final long REVOKE_MS = 5_000;
    /** The copy is this old when the store comes back. */
    private static final long COPY_AGE_MS = 8_000;
    private static final long AWAY_MS = 500;
    private static final long WRITTEN_AGAIN_MS = 2_000;
    private static final String[] ZONES = {"sofia-a", "plovdiv-a", "varna-a"};
    private static final String TEAMS = "teams:\n  maxKeyAgeMs: 5000\n  limits:\n    windowS: 5\n    overshoot: 0.1\n    slack: 20\n";

    public static void main(String[] args) throws Exception {
        Bed.begin();
        Path folder = Path.of(args[0]);
        boolean isTroubled = !args[1].equals("0");
        Path temporary = Files.createTempDirectory("review-key-after-restore");
        Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store("127.78.0.1");
        String route = Desired2.route("order", "/order/", "non_idempotent", "orders");
        String before = Desired2.withTenants(1,
            Desired2.tenant("huka", "key-old", "key-kept") + "," + Desired2.tenant("lopu", "key-other"), route);
        String after = Desired2.withTenants(2,
            Desired2.tenant("huka", "key-kept") + "," + Desired2.tenant("lopu", "key-other"), route);
        store.put("op", "config", before);

        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Upstream upstream = new Upstream("u-" + i, "orders", ZONES[i % 3], "127.78.2." + (i + 1), 6, record);
            upstream.workMs = 30;
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
            Bed.Gateway gateway =
                new Bed.Gateway("g-" + i, ZONES[i], "127.78.1." + (i + 1), store.address(), temporary, TEAMS);
            gateways.add(gateway);
            gateway.start();
        }
        for (Bed.Gateway gateway : gateways) gateway.awaitReady();
        Thread.sleep(3_000);

        Queue<Client.Answer> kept = new ConcurrentLinkedQueue<>();
        Queue<Client.Answer> old = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 12; i++) {
            boolean isOld = i >= 6;
            Client client = new Client(gateways.get(i % 3), record);
            client.fields = "Api-Key: " + (isOld ? "key-old" : "key-kept") + "\r\n";
            Bed.daemon("client-" + i, () -> {
                while (true) {
                    (isOld ? old : kept).add(client.call("POST", "/order/a", "quote".getBytes(), 1_500));
                    Thread.sleep(60);
                }
            });
        }
        Thread.sleep(1_000);

        Store.Copy copy = store.copy();
        long copiedAt = record.now();
        record.say("the store is copied with r1");
        Thread.sleep(1_500);
        store.put("op", "config", after);
        long revokedAt = record.now();
        record.say("r2 takes key-old away, acknowledged");
        Bed.Gateway restarted = gateways.get(1);
        if (isTroubled) {
            restarted.signal("TERM");
            record.say("SIGTERM to g-1, which is to be started again");
        }
        Thread.sleep(copiedAt + COPY_AGE_MS - AWAY_MS - record.now());
        if (isTroubled) {
            if (restarted.isRunning()) Bed.exit(2);
            store.leave();
            record.say("g-1 has ended; the store is away");
            Thread.sleep(AWAY_MS);
            store.restore(copy);
            for (Upstream upstream : upstreams) store.put("servers", upstream.id, upstream.entry());
            record.say("the store is back from the copy, " + (record.now() - copiedAt) + " ms old, with the next Store-Era");
            restarted.start();
            record.say("g-1 is started again");
            Thread.sleep(WRITTEN_AGAIN_MS);
            store.put("op", "config", after);
            record.say("the operator has written r2 again");
        } else {
            Thread.sleep(AWAY_MS + WRITTEN_AGAIN_MS);
        }
        Thread.sleep(3_000);

        Set<String> ran = ConcurrentHashMap.newKeySet();
        upstreams.forEach(upstream -> upstream.runs.forEach(run -> ran.add(run.id)));
        int late = 0;
        long firstAt = 0;
        long lastAt = 0;
        String by = "";
        for (Client.Answer answer : old) {
            if (answer.sentAt <= revokedAt + REVOKE_MS || !ran.contains(answer.id)) continue;
            if (late++ == 0) firstAt = answer.sentAt - revokedAt;
            lastAt = answer.sentAt - revokedAt;
            if (!by.contains(answer.gateway)) by += " " + answer.gateway;
        }
        long served = kept.stream().filter(answer -> answer.status == 200).count();
        boolean wasUsed = old.stream().anyMatch(answer -> answer.sentAt < revokedAt && answer.status == 200);
        record.say(served + " of " + kept.size() + " requests with the other key served");
        record.say(late + " requests with the key that was taken away were sent later than " + REVOKE_MS
            + " ms after that and ran" + (late > 0 ? ", " + firstAt + " to " + lastAt + " ms after it, by" + by : ""));
        Bed.exit(!wasUsed || served < kept.size() / 2 ? 2 : late > 0 ? 1 : 0);
    }
}
