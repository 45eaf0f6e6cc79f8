/*
 * Records caller results and disturbances of the system during a run for the checks that follow.
 */
package org.cardamomwharf.soak

import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Represents a caller request and its result.
 *
 * @param instance the instance that it was sent to.
 * @param status the response status, or 0 without a response.
 * @param hasCompleteResponse whether a successful response was the complete response to this request.
 * @param isConnectionLost whether the connection closed without a response.
 */
data class CallRecord(
    val id: String,
    val instance: String,
    val path: String,
    val isIdempotent: Boolean,
    val startedAtMs: Long,
    val endedAtMs: Long,
    val status: Int,
    val hasCompleteResponse: Boolean,
    val isConnectionLost: Boolean,
)

/** Represents a period in which [target] was disturbed; no time bound applies to it then and shortly after. */
data class Disturbance(val target: String, val cause: String, val fromMs: Long, val toMs: Long)

/** Represents a disturbance about to start and its minimum duration. */
data class PlannedDisturbance(val target: String, val cause: String, val durationMs: Long)

/** Represents the time at which a backend server announced that it was leaving. */
data class LeaveRecord(val server: String, val atMs: Long)

/** Represents a graceful stop of an instance, from the signal until the exit of its process. */
data class StopRecord(val instance: String, val atMs: Long, val endedAtMs: Long)

/** Time within which every fault must have ended after the run. */
internal const val FAULT_TIMEOUT_S: Long = 60
private const val MS_PER_S = 1_000L

/** Collects records from all threads of a run. */
class SoakRecord {
    val calls = ConcurrentLinkedQueue<CallRecord>()
    val disturbances = ConcurrentLinkedQueue<Disturbance>()
    val leaves = ConcurrentLinkedQueue<LeaveRecord>()
    val stops = ConcurrentLinkedQueue<StopRecord>()

    /** Disturbances of backend servers; they excuse no instance. */
    val serverDisturbances = ConcurrentLinkedQueue<Disturbance>()

    /** Exits of instances that no signal asked for. */
    val unexpectedExits = ConcurrentLinkedQueue<String>()
    val regressions = ConcurrentLinkedQueue<String>()

    /** Runs [action] and records [planned] as a disturbance for its duration on the clock [now]. */
    fun recordDisturbance(now: () -> Long, planned: PlannedDisturbance, action: () -> Unit) {
        val fromMs = now()
        val latestEndMs = fromMs + planned.durationMs + FAULT_TIMEOUT_S * MS_PER_S
        val open = Disturbance(planned.target, planned.cause, fromMs, latestEndMs)
        disturbances.add(open)
        action()
        disturbances.add(open.copy(toMs = now()))
        disturbances.remove(open)
    }

    /** Returns whether the process of [instance] was neither killed nor paused from [fromMs] to [toMs]. */
    fun isRunning(instance: String, fromMs: Long, toMs: Long): Boolean =
        disturbances.none { it.target == instance && it.cause == PROCESS && it.fromMs <= toMs && it.toMs >= fromMs }

    /** Returns whether [target] was not disturbed from [fromMs] to [toMs]. */
    fun isUndisturbed(target: String, fromMs: Long, toMs: Long): Boolean =
        disturbances.none { it.target == target && it.fromMs <= toMs && it.toMs >= fromMs }

    /** Returns whether the backend server [name] was not disturbed from [fromMs] to [toMs]. */
    fun isServerUndisturbed(name: String, fromMs: Long, toMs: Long): Boolean =
        serverDisturbances.none { it.target == name && it.fromMs <= toMs && it.toMs >= fromMs }

    companion object {
        /** The target name of the store. */
        const val STORE = "store"

        /** The cause for a process that is killed or paused. */
        const val PROCESS = "process"
    }
}
