/** Writes desired states. */
final class Desired2 {
    private Desired2() {
    }

    static String route(String name, String prefix, String kind, String service) {
        return route(name, prefix, kind, service, 1_500);
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMs) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"service\":\"" + service
            + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":400,\"max_attempts\":2,"
            + "\"priority\":1,\"sticky\":false,\"allowed_regions\":[]}";
    }

    static String config(int version, String... routes) {
        return config(version, "", routes);
    }

    /** Returns a tenant that holds [keys]. */
    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys)
            + "\"],\"rate_per_s\":0,\"burst\":0}";
    }

    static String withTenants(int version, String tenants, String... routes) {
        return config(version, ",\"tenants\":[" + tenants + "]", routes);
    }

    private static String config(int version, String more, String[] routes) {
        return "{\"version\":\"r" + version + "\",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + service("matcher") + "," + service("orders") + "],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}" + more + "}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":330,\"cold_start_s\":3,"
            + "\"cold_per_s\":9.1}";
    }
}
