/** Writes a desired state in the form in which operators write it. */
final class Desired {
    private Desired() {}

    /** Returns a state with one idempotent route, /read/, and one that isn't, /book/. */
    static String of(int version, String reads, String bookings) {
        return "{\"version\":\"r" + version + "\",\"routes\":["
            + route("r-read", "/read/", "idempotent", 1_000, 400, reads) + ","
            + route("r-book", "/book/", "non_idempotent", 1_200, 500, bookings) + "],\"services\":["
            + service(reads) + "," + service(bookings) + "],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static String route(String name, String prefix, String kind, int timeoutMs, int targetMs, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"app.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs + ",\"priority\":1,"
            + "\"service\":\"" + service + "\",\"max_attempts\":2,\"sticky\":true,\"allowed_regions\":[]}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":9.1}";
    }
}
