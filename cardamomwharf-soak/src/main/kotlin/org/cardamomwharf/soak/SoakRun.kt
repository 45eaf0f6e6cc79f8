/*
 * Plays one run: starts the parts, injects the planned faults, keeps callers going, and checks what they saw.
 */
package org.cardamomwharf.soak

import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val START_MS = 3_000L
private const val FAULT_THREADS = 16
private const val SETTLE_MS = 1_500L

/**
 * Represents the outcome of a run.
 *
 * @param calls what callers saw; times are on the clock of the run.
 */
data class SoakOutcome(
    val seed: Long,
    val plan: List<PlannedFault>,
    val startedAtMs: Long,
    val calls: List<CallRecord>,
    val violations: List<Violation>,
)

class SoakRun(private val seed: Long, private val durationMs: Long, network: Int, folder: Path) : AutoCloseable {
    private val plan = planOf(seed, durationMs)
    private val world = SoakWorld(network, folder)
    private val record = SoakRecord()
    private val executor = Executors.newScheduledThreadPool(FAULT_THREADS)
    private val instanceFaults = InstanceFaults(world, record)
    private val serverFaults = ServerFaults(world, record)
    private val storeFaults = StoreTroubles(world, record)

    /** Plays the run and returns what became of it. */
    fun play(): SoakOutcome {
        Thread.sleep(START_MS)
        check(world.gateways.all { it.isRunning }) { "an instance of seed $seed did not start; see its log" }
        val startedAtMs = world.clock.nowMs()
        val callers = SoakCallers(world, record, seed)
        callers.start()
        plan.forEach { planned -> executor.schedule({ inject(planned.fault) }, planned.atMs, TimeUnit.MILLISECONDS) }
        Thread.sleep(durationMs)
        executor.shutdown()
        check(executor.awaitTermination(FAULT_LIMIT_S, TimeUnit.SECONDS)) { "a fault of seed $seed did not end" }
        callers.stop()
        Thread.sleep(SETTLE_MS)
        val calmFromMs = record.disturbances.maxOfOrNull { it.toMs } ?: startedAtMs
        return SoakOutcome(seed, plan, startedAtMs, record.calls.toList(), checkRun(record, world.runs(), calmFromMs))
    }

    private fun inject(fault: Fault) = when (fault) {
        is Fault.OfInstance -> instanceFaults.inject(fault)
        is Fault.OfServer -> serverFaults.inject(fault)
        is Fault.OfStore -> storeFaults.inject(fault)
    }

    override fun close() {
        executor.shutdownNow()
        world.close()
    }
}
