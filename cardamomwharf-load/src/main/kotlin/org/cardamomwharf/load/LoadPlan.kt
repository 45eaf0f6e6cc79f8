/*
 * What a load run does: which services are asked at which rate, for how long, and from which client addresses.
 */
package org.cardamomwharf.load

/** Represents how the requests of a service are made. */
public enum class RequestKind { READ, BOOKING }

/** Represents the load on one service. */
public data class ServiceLoadPlan(
    public val service: String,
    public val kind: RequestKind,
    public val requestsPerSecond: Int,
)

/**
 * Represents a load run.
 *
 * @param entries caller addresses of entry instances that are asked for the first look-ups.
 * @param clients client addresses that take turns.
 * @param seed seed of everything that varies.
 */
public data class LoadPlan(
    public val entries: List<String>,
    public val clients: List<String>,
    public val services: List<ServiceLoadPlan>,
    public val durationMs: Long,
    public val deadlineMs: Long,
    public val seed: Long,
) {
    public companion object {
        private const val PARTS = 3

        /** Returns the load written as `service:kind:requestsPerSecond`, or null when [text] isn't one. */
        public fun parseService(text: String): ServiceLoadPlan? {
            val parts = text.split(':')
            val kind = RequestKind.entries.firstOrNull { it.name.lowercase() == parts.getOrNull(1) }
            val rate = parts.getOrNull(2)?.toIntOrNull()
            if (parts.size != PARTS || kind == null || rate == null) return null
            return if (rate > 0) ServiceLoadPlan(parts.first(), kind, rate) else null
        }
    }
}
