/*
 * Generates the faults of a run from its seed; the same seed gives the same plan. Faults come in series and overlap.
 * Further stops and reloads have a plan of their own, so that there are many of them.
 */
package org.cardamomwharf.soak

import kotlin.random.Random

/** Maximum time between the starts of two faults. */
private const val MAX_GAP_MS = 2_500L
private const val MIN_FAULT_MS = 500L
private const val MAX_FAULT_MS = 6_000L

/** On average, one fault in this many starts at the same time as the next, so that faults coincide. */
private const val FAULTS_PER_SERIES = 3

/** Maximum time between the starts of two stops or reloads. */
private const val MAX_STOP_GAP_MS = 4_000L
private const val STOP_PLAN_SALT = 46L

/** One stop in this many is followed by others that come soon after the start of the process. */
private const val STOPS_PER_SERIES = 2
private const val MAX_RESTARTS = 2
private const val MAX_START_AGE_MS = 1_000L

/** Maximum time from the opening of the first listener to a signal; the other listeners may not be open yet. */
private const val MAX_OPENING_AGE_MS = 60L

/** Final share of a run without new faults, in which the system has to recover. */
private const val RECOVERY_SHARE = 0.35

/** Returns the faults of a run of [durationMs] with [seed]. */
fun createFaultPlan(seed: Long, durationMs: Long): List<PlannedFault> {
    val random = Random(seed)
    val endMs = (durationMs * (1 - RECOVERY_SHARE)).toLong()
    val plan = ArrayList<PlannedFault>()
    var atMs = MAX_GAP_MS
    while (atMs < endMs) {
        plan += PlannedFault(atMs, random.nextFault(endMs - atMs))
        atMs += if (random.nextInt(FAULTS_PER_SERIES) == 0) 0 else random.nextLong(MAX_GAP_MS)
    }
    return (plan + createStopPlan(Random(seed + STOP_PLAN_SALT), endMs)).sortedBy { it.atMs }
}

private fun createStopPlan(random: Random, endMs: Long): List<PlannedFault> =
    generateSequence(random.nextLong(MAX_STOP_GAP_MS)) { it + random.nextLong(MAX_STOP_GAP_MS) }
        .takeWhile { it < endMs }.map { PlannedFault(it, random.nextStop()) }.toList()

private fun Random.nextStop(): Fault {
    val target = nextInt(Int.MAX_VALUE)
    val term = StopStep(0, StopAction.TERMINATE)
    val steps = listOf(
        listOf(term),
        listOf(term, StopStep(nextLong(STOP_BOUND_MS), StopAction.TERMINATE)),
        listOf(term, StopStep(nextLong(STOP_BOUND_MS), StopAction.HANG_UP)),
        listOf(StopStep(0, StopAction.RECONFIGURE), StopStep(0, StopAction.HANG_UP), term),
        listOf(term, StopStep(0, StopAction.HANG_UP), StopStep(0, StopAction.RECONFIGURE)),
    )
    val isSeries = nextInt(STOPS_PER_SERIES) == 0
    val restarts = List(if (isSeries) 1 + nextInt(MAX_RESTARTS) else 0) { nextRestartAge() }
    val stop = Fault.Stop(target, steps[nextInt(steps.size)], restarts)
    return if (nextInt(STOPS_PER_SERIES) == 0) stop else nextReloadOr(stop)
}

private fun Random.nextReloadOr(stop: Fault.Stop): Fault =
    if (nextBoolean()) Fault.Reload(stop.target, isChanged = nextBoolean()) else stop

private fun Random.nextRestartAge(): RestartAge {
    val isAfterOpening = nextBoolean()
    return RestartAge(isAfterOpening, nextLong(if (isAfterOpening) MAX_OPENING_AGE_MS else MAX_START_AGE_MS))
}

private fun Random.nextFault(remainingMs: Long): Fault {
    val target = nextInt(Int.MAX_VALUE)
    val durationMs = nextLong(MIN_FAULT_MS, MAX_FAULT_MS).coerceAtMost(maxOf(remainingMs, MIN_FAULT_MS))
    val faultFactories: List<() -> Fault> = listOf(
        { Fault.Kill(target) },
        { Fault.Stop(target) },
        { Fault.Stop(target) },
        { Fault.Pause(target, durationMs) },
        { Fault.KillAll },
        { Fault.StoreConnection(target, nextConnectionFault(), durationMs) },
        { Fault.ServerConnection(target, nextConnectionFault(), durationMs) },
        { Fault.StoreFailure(StoreFailureKind.entries[nextInt(StoreFailureKind.entries.size)], durationMs) },
        { Fault.DropHistory },
        { Fault.Leave(target, isAddressReused = nextBoolean()) },
        { Fault.Leave(target, isAddressReused = nextBoolean()) },
        { Fault.Restart(target, durationMs) },
        { Fault.LoseResponses(target, durationMs) },
        { Fault.Reconfigure },
        { Fault.Reconfigure },
        { Fault.Evacuate(target, durationMs) },
    )
    return faultFactories[nextInt(faultFactories.size)]()
}

private fun Random.nextConnectionFault(): ConnectionFault =
    ConnectionFault.entries[nextInt(ConnectionFault.entries.size)]
