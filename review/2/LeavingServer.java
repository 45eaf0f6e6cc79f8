import java.util.Map;
import java.util.stream.Collectors;

/**
 * Case 2: a backend server that never reports draining leaves while the store is down. Its entry is removed, and it says in
 * all its answers that it leaves.
 */
public final class LeavingServer {
    private static final long DRAIN_MS = 2_500;
    /** Time for which the store is down. */
    private static final long DOWN_MS = 8_000;
    private static final long WORK_MS = 640;
    /** Servers of each service; one of them leaves, at most the share of 0.13 that the site has. */
    private static final int SERVERS = 8;
    /** Time for which the server serves beyond the drain time before it exits. */
    private static final long STAY_MS = 2_000;

    public static void main(String[] arguments) throws Exception {
        Harness.run(arguments, LeavingServer::play);
    }

    private static int play(Harness harness) throws Exception {
        Store store = harness.keep(new Store());
        Relay relay = harness.keep(new Relay(store.address));
        Deployment deployment = new Deployment(harness, SERVERS, 2, store, relay.address);
        Upstream leaving = deployment.bookers.get(0);
        deployment.bookers.forEach(server -> server.workMs = WORK_MS);
        deployment.startTraffic(16, 266);
        Harness.sleep(Deployment.STABLE_WINDOW_MS + 500);
        if (leaving.arrivals.isEmpty()) return Harness.NOT_RUN;

        long downAtMs = harness.nowMs();
        relay.isCut = harness.isTroubled;
        harness.note(harness.isTroubled ? "the store is down, silently" : "the store stays up");
        Harness.sleep(500);
        leaving.isLeaving = true;
        store.remove("servers", leaving.name);
        harness.note(leaving.name + " leaves: its entry is removed, its answers bear Server-Leaving");
        Harness.sleep(DRAIN_MS + STAY_MS);
        long exitAtMs = harness.nowMs();
        leaving.close();
        harness.note(leaving.name + " exits");
        Harness.sleep(DOWN_MS - (harness.nowMs() - downAtMs));
        relay.isCut = false;
        harness.note("the store is back");
        Harness.sleep(2_000);
        deployment.endTraffic();
        return judge(harness, deployment, leaving, exitAtMs);
    }

    private static int judge(Harness harness, Deployment deployment, Upstream leaving, long exitAtMs) {
        Map<String, Deployment.Sent> sent = deployment.sent.stream()
            .collect(Collectors.toMap(Deployment.Sent::id, it -> it));
        deployment.leavingSeenAtMs.forEach((gateway, atMs) ->
            harness.note(gateway + " passed on the first answer with Server-Leaving before " + atMs + " ms"));
        int late = 0;
        int lost = 0;
        for (Upstream.Arrival arrival : leaving.arrivals) {
            Deployment.Sent request = sent.get(arrival.id());
            if (!arrival.hasRun() || request == null) continue;
            Long seenAtMs = deployment.leavingSeenAtMs.get(request.gateway());
            if (seenAtMs == null || request.atMs() <= seenAtMs + DRAIN_MS) continue;
            late++;
            boolean isLost = request.status() != 200 && arrival.atMs() <= exitAtMs;
            if (isLost) lost++;
            harness.note("late " + arrival.id() + " sent at " + request.atMs() + " ms to " + request.gateway() + ", reached "
                + leaving.name + " at " + arrival.atMs() + " ms, " + (isLost ? "run and lost, status " + request.status() : "answered"));
        }
        harness.note("requests that reached it later than " + DRAIN_MS + " ms after that: " + late
            + ", of these begun and lost at its exit " + lost);
        return late > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
