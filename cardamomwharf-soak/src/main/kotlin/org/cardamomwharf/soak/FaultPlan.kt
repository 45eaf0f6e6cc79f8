/*
 * Generates the faults of a run from its seed; the same seed gives the same plan. Faults come in series and overlap.
 */
package org.cardamomwharf.soak

import kotlin.random.Random

/** Maximum time between the starts of two faults. */
private const val MAX_GAP_MS = 2_500L
private const val MIN_FAULT_MS = 500L
private const val MAX_FAULT_MS = 6_000L

/** On average, one fault in this many starts at the same time as the next, so that faults coincide. */
private const val FAULTS_PER_SERIES = 3

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
    return plan
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
