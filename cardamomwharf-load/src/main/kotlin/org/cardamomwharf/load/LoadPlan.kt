/*
 * The plan of a load run: services and their request rates, duration, deadline and client addresses.
 */
package org.cardamomwharf.load

/** Represents the kind of the requests for a service. */
public enum class RequestKind { READ, BOOKING }

/** Represents the load on one service. */
public data class ServiceLoadPlan(
    public val service: String,
    public val kind: RequestKind,
    public val requestsPerSecond: Int,
)

/**
 * Represents the plan of a load run.
 *
 * @param entries caller addresses of entry instances, used for the first look-ups.
 * @param clients client addresses, used in rotation.
 * @param seed part of the idempotency keys, so that keys of different runs differ.
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

        /** Parses `service:kind:requestsPerSecond`; returns null when [text] does not have this form. */
        public fun parseService(text: String): ServiceLoadPlan? {
            val parts = text.split(':')
            val kind = RequestKind.entries.firstOrNull { it.name.lowercase() == parts.getOrNull(1) }
            val rate = parts.getOrNull(2)?.toIntOrNull()
            if (parts.size != PARTS || kind == null || rate == null) return null
            return if (rate > 0) ServiceLoadPlan(parts.first(), kind, rate) else null
        }
    }
}
