/*
 * Checks the guarantees of the system against the records of callers and backend servers.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.platform.standin.BackendRun

/** Time for which an instance must be undisturbed before time bounds apply; the requirement is 4 s. */
private const val UNDISTURBED_MS = 4_000L

/** Time after which a leaving server must receive no requests; the requirement is 2.5 s. */
private const val LEAVE_BOUND_MS = 2_500L

/** Maximum time from the stop signal to the exit of a process; required because a process is killed after 6 s. */
const val STOP_BOUND_MS: Long = 6_000L

/** Minimum share of requests served after all faults have ended; the requirement is a quarter. */
private const val MIN_SERVED_SHARE = 0.25

/** Maximum recovery time of the system; the requirement is 15 s. */
const val RECOVERY_MS: Long = 15_000L
private const val MISDIRECTED = 421
private const val TOO_MANY_REQUESTS = 429
private const val TIMEOUT = 408
private val notExecutedStatuses = setOf(TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, StatusCode.UNAVAILABLE)
private const val MIN_SUCCESS = 200
private const val MAX_SUCCESS = 299

internal val successStatuses = MIN_SUCCESS..MAX_SUCCESS

/** Represents a violated guarantee and the records that show it. */
data class Violation(val guarantee: String, val detail: String)

/** Returns the violations in [record] and in the [runs] by server name; the last fault ended at [faultsEndedAtMs]. */
fun checkRun(record: SoakRecord, runs: Map<String, List<BackendRun>>, faultsEndedAtMs: Long): List<Violation> {
    val runsById = runs.values.flatten().groupingBy { it.requestId }.eachCount()
    return checkResponses(record, runsById) + checkLeavingServers(record, runs) + checkStops(record, runsById) +
        checkConnections(record, runsById) + checkServerResponses(record, runs) +
        record.regressions.map { Violation("versions never go back", it) } +
        record.unexpectedExits.map { Violation("an instance runs until it is stopped", it) } +
        checkRecovery(record, faultsEndedAtMs)
}

private fun checkResponses(record: SoakRecord, runsById: Map<String, Int>): List<Violation> =
    record.calls.mapNotNull { call ->
        val ran = runsById[call.id] ?: 0
        when {
            !call.isIdempotent && ran > 1 -> Violation("at most once", "$call ran $ran times")
            call.status in notExecutedStatuses && ran > 0 ->
                Violation("a refusal means not run", "$call ran $ran times")
            call.status in successStatuses && !call.hasCompleteResponse -> Violation("the whole own answer", "$call")
            else -> null
        }
    }

private fun checkLeavingServers(record: SoakRecord, runs: Map<String, List<BackendRun>>): List<Violation> {
    val calls = record.calls.associateBy { it.id }
    return record.leaves.flatMap { leave ->
        runs[leave.server].orEmpty()
            .filter { it.startedAtMs > leave.atMs + LEAVE_BOUND_MS }
            .filter { isUndisturbedCall(record, calls[it.requestId], leave.atMs, it.startedAtMs) }
            .map { Violation("a leaving server gets nothing", "$it of $leave by ${calls[it.requestId]}") }
    }
}

/** Returns whether the instance of [call] and the store were undisturbed from shortly before [atMs] to [untilMs]. */
private fun isUndisturbedCall(record: SoakRecord, call: CallRecord?, atMs: Long, untilMs: Long): Boolean =
    call != null && record.isUndisturbed(call.instance, atMs - UNDISTURBED_MS, untilMs) &&
        record.isUndisturbed(SoakRecord.STORE, atMs - UNDISTURBED_MS, untilMs)

/** Returns the requests that ran and whose connection closed without an answer, outside planned stops. */
private fun checkConnections(record: SoakRecord, runsById: Map<String, Int>): List<Violation> = record.calls
    .filter { it.isConnectionLost && it.id in runsById }
    .filter { record.isRunning(it.instance, it.startedAtMs, it.endedAtMs) }
    .filter { call -> record.stops.none { isDuring(call, it) } }
    .map { Violation("a request that ran is answered", "$it") }

private fun isDuring(call: CallRecord, stop: StopRecord): Boolean =
    call.instance == stop.instance && call.startedAtMs <= stop.endedAtMs && call.endedAtMs >= stop.atMs

private fun checkStops(record: SoakRecord, runsById: Map<String, Int>): List<Violation> = record.stops.flatMap { stop ->
    val isRunning = record.isRunning(stop.instance, stop.atMs, stop.endedAtMs)
    val interrupted = record.calls.filter { call ->
        isRunning && call.isConnectionLost && call.id in runsById && isDuring(call, stop)
    }
    val isLate = isRunning && stop.endedAtMs - stop.atMs > STOP_BOUND_MS
    interrupted.map { Violation("a planned stop cuts nothing off", "$it at $stop") } +
        (if (isLate) listOf(Violation("a planned stop ends in time", "$stop")) else emptyList())
}

/**
 * Returns the bookings whose only run was on an undisturbed server and that ended with the gateway's 502. A 504 tells
 * nothing, because a response that was late can't be told from one that was lost.
 */
private fun checkServerResponses(record: SoakRecord, runs: Map<String, List<BackendRun>>): List<Violation> {
    val calls = record.calls.filter { !it.isIdempotent && it.status == StatusCode.BAD_GATEWAY }.associateBy { it.id }
    return runs.flatMap { (server, list) -> list.map { server to it } }.groupBy { (_, run) -> run.requestId }.values
        .mapNotNull { it.singleOrNull() }
        .filter { (server, run) -> calls[run.requestId]?.let { isResponseLost(record, it, server, run) } == true }
        .map { (server, run) -> Violation("a sound server's answer arrives", "${calls[run.requestId]} by $server") }
}

private fun isResponseLost(record: SoakRecord, call: CallRecord, server: String, run: BackendRun): Boolean =
    record.isServerUndisturbed(server, run.startedAtMs - UNDISTURBED_MS, call.endedAtMs) &&
        record.isRunning(call.instance, call.startedAtMs - UNDISTURBED_MS, call.endedAtMs)

private fun checkRecovery(record: SoakRecord, faultsEndedAtMs: Long): List<Violation> {
    val after = record.calls.filter { it.startedAtMs > faultsEndedAtMs + RECOVERY_MS }
    val served = after.count { it.status in successStatuses }
    val isRecovered = after.isEmpty() || served >= after.size * MIN_SERVED_SHARE
    return if (isRecovered) emptyList() else listOf(Violation("the system recovers", "$served of ${after.size} served"))
}
