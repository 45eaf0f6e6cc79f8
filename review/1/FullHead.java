import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Case 1: one request whose head fills the limit of the desired state. */
public final class FullHead {
    /** The limit max_header_bytes of the desired state. */
    private static final int LIMIT_BYTES = 16_384;
    private static final int HEAD_BYTES = 16_380;
    private static final int SMALLER_HEAD_BYTES = 15_000;

    public static void main(String[] arguments) throws Exception {
        Harness.run(arguments, FullHead::play);
    }

    private static int play(Harness harness) throws Exception {
        Store store = harness.keep(new Store());
        Deployment deployment = new Deployment(harness, 2, 2, store, store.address);
        Harness.sleep(Deployment.STABLE_WINDOW_MS + 500);
        deployment.startTraffic(4, 400);
        Harness.sleep(3_000);
        int bytes = harness.isTroubled ? HEAD_BYTES : SMALLER_HEAD_BYTES;
        long atMs = harness.nowMs();
        for (Gateway gateway : deployment.gateways) sendHead(harness, gateway, bytes);
        Harness.sleep(15_000);
        for (Gateway gateway : deployment.gateways) {
            long beforeMs = gateway.processorMs();
            Harness.sleep(1_000);
            harness.note(gateway.name + " running " + gateway.isAlive() + ", readiness " + gateway.probe()
                + ", processor time in one second " + (gateway.processorMs() - beforeMs) + " ms");
        }
        deployment.endTraffic();
        long served = deployment.sent.stream().filter(it -> it.atMs() < atMs && it.status() == 200).count();
        long servedLater = deployment.sent.stream().filter(it -> it.atMs() >= atMs && it.status() == 200).count();
        long sentLater = deployment.sent.stream().filter(it -> it.atMs() >= atMs).count();
        harness.note("served before the head " + served + "; after it " + servedLater + " of " + sentLater);
        if (served == 0) return Harness.NOT_RUN;
        return deployment.isConfigBroken(0) ? Harness.BROKEN : Harness.HELD;
    }

    /** Sends a read whose head has [bytes] bytes, from the request line to the empty line. */
    private static void sendHead(Harness harness, Gateway gateway, int bytes) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Deadline-Ms", Integer.toString(Deployment.READ_DEADLINE_MS));
        fields.put("Cookie", "");
        String id = "full-" + gateway.name;
        int others = Caller.head("GET", "/read/2f", "app.example", id, fields, 0).length();
        fields.put("Cookie", "c".repeat(bytes - others));
        harness.note("head of " + bytes + " bytes, limit " + LIMIT_BYTES);
        try (Caller caller = new Caller(harness, gateway.host, gateway.caller)) {
            caller.call("GET", "/read/2f", id, fields, Deployment.READ_DEADLINE_MS);
        } catch (IOException e) {
            harness.note("the request with the full head got no answer");
        }
    }
}
