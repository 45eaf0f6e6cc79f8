/*
 * What this instance believes of one backend server: its record, its load, whether it can be trusted, and the keys that
 * it knows.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.limits.ColdRateLimiter

/** Represents the belief about one life of a backend server. */
public class KnownServer(
    record: ServerRecord,
    /** How far the server is from this instance. */
    public val distance: Distance,
    /** The region of the server, or null when its zone isn't listed. */
    public val region: RegionName?,
    parameters: SteeringParameters,
) {
    /** Hash of the name, for rankings by key. */
    internal val nameHash: Long = hash64(record.name.value)

    /** What the store says of the server. */
    public var record: ServerRecord = record
        internal set

    /** The load of the server. */
    public val load: ServerLoad = ServerLoad(parameters)

    /** Whether the server can be trusted with requests. */
    public val health: ServerHealth = ServerHealth(parameters)

    /** Keys that the server is believed to have handled recently. */
    public val warmKeys: WarmKeys = WarmKeys()

    /** Time until which the server is cold. */
    public var coldUntilMs: Long = Long.MIN_VALUE
        internal set

    /** True for a server that joined others at work, until this instance has sent it a request. */
    public var isUntried: Boolean = false
        internal set

    /** True when this instance has sent the server a request. */
    public var hasReceivedRequest: Boolean = false
        private set

    internal val coldRateLimiter = ColdRateLimiter()

    /** Slots of the server, at least one. */
    public val slots: Int get() = (load.reportedSlots ?: record.slots).coerceAtLeast(1)

    /** Returns true when the server is cold. */
    public fun isCold(nowMs: Long): Boolean = nowMs < coldUntilMs

    /** Notes that a request goes to the server now. */
    public fun recordRequestSent(nowMs: Long) {
        load.recordRequestSent(nowMs)
        isUntried = false
        hasReceivedRequest = true
    }

    /** Starts the belief anew, as for a new life of the server. */
    internal fun reset() {
        warmKeys.clear()
        load.reset()
        health.reset()
    }
}
