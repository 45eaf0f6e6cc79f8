/*
 * Instances that could not be reached lately. What this instance saw itself outranks heartbeats and summaries, which
 * may be older: a suspect gets no requests and is left out of look-ups until it is heard again or a pause is over.
 */
package org.cardamomwharf.decision.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cardamomwharf.core.InstanceName

/** The time for which an instance stays a suspect. */
public const val SUSPECT_DURATION_MS: Long = 5_000

/** Represents the suspects with the time until which they are. */
public data class Suspects(private val untilMs: PersistentMap<InstanceName, Long> = persistentMapOf()) {
    /** Returns true while [name] is a suspect. */
    public fun isSuspect(name: InstanceName, nowMs: Long): Boolean = untilMs[name]?.let { nowMs < it } == true

    /** Returns these suspects after [name] could not be reached. */
    public fun add(name: InstanceName, nowMs: Long): Suspects = Suspects(untilMs.put(name, nowMs + SUSPECT_DURATION_MS))

    /** Returns these suspects after [name] answered or was heard itself. */
    public fun clear(name: InstanceName): Suspects = if (name in untilMs) Suspects(untilMs.remove(name)) else this
}
