/*
 * The state that this instance tracks for one backend server: its record, load, health and warm keys.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.limits.AnnouncedLimit
import org.cardamomwharf.steering.limits.ColdRateLimiter

/** Tracks the state of one backend server since its last start. */
public class KnownServer(
    record: ServerRecord,
    /** The distance of the server from this instance. */
    public val distance: Distance,
    /** The region of the server, or null when its zone isn't listed. */
    public val region: RegionName?,
    parameters: SteeringParameters,
) {
    /** Hash of the name, for rankings by key. */
    internal val nameHash: Long = hash64(record.name.value)

    /** The record of the server in the store. */
    public var record: ServerRecord = record
        internal set

    /** The load of the server. */
    public val load: ServerLoad = ServerLoad(parameters)

    /** The health of the server. */
    public val health: ServerHealth = ServerHealth(parameters)

    /** Keys that the server has probably cached. */
    public val warmKeys: WarmKeys = WarmKeys()

    /** The limit that the server announces for all instances together, or null for none. */
    public var announcedLimit: AnnouncedLimit? = null
        internal set

    /** Time until which the server is cold. */
    public var coldUntilMs: Long = Long.MIN_VALUE
        internal set

    /** True for a server that joined a service in use, until this instance has sent it a request. */
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

    /** Records that a request is sent to the server now. */
    public fun recordRequestSent(nowMs: Long) {
        load.recordRequestSent(nowMs)
        isUntried = false
        hasReceivedRequest = true
    }

    /** Resets the state after a restart of the server. */
    internal fun reset() {
        warmKeys.clear()
        announcedLimit = null
        load.reset()
        health.reset()
    }
}
