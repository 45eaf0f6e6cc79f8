/*
 * Instances that could not be reached recently. A failed connection of this instance takes precedence over heartbeats
 * and summaries, which may be older: a suspect gets no requests and is left out of look-ups until it responds, sends a
 * heartbeat, or [SUSPECT_DURATION_MS] has passed.
 */
package org.cardamomwharf.decision.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cardamomwharf.core.InstanceName

/** The time for which an unreachable instance remains a suspect. */
public const val SUSPECT_DURATION_MS: Long = 5_000

/** Represents the suspected instances with the time at which each suspicion ends. */
public data class Suspects(private val untilMs: PersistentMap<InstanceName, Long> = persistentMapOf()) {
    /** Returns true while [name] is suspected. */
    public fun isSuspect(name: InstanceName, nowMs: Long): Boolean = untilMs[name]?.let { nowMs < it } == true

    /** Records that [name] could not be reached. */
    public fun add(name: InstanceName, nowMs: Long): Suspects = Suspects(untilMs.put(name, nowMs + SUSPECT_DURATION_MS))

    /** Records that [name] responded or sent a heartbeat. */
    public fun clear(name: InstanceName): Suspects = if (name in untilMs) Suspects(untilMs.remove(name)) else this
}
