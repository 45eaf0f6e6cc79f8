/*
 * Executes a soak run: starts the cluster and callers, injects the planned faults and checks the recorded results.
 */
package org.cardamomwharf.soak

import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val STARTUP_MS = 3_000L
private const val FAULT_THREADS = 16
private const val REQUEST_COMPLETION_MS = 1_500L

/**
 * Represents the result of a run.
 *
 * @param calls caller requests and their results; times are on the clock of the run.
 */
data class SoakOutcome(
    val seed: Long,
    val plan: List<PlannedFault>,
    val startedAtMs: Long,
    val calls: List<CallRecord>,
    val stops: List<StopRecord>,
    val violations: List<Violation>,
)

class SoakRun(private val seed: Long, private val durationMs: Long, network: Int, folder: Path) : AutoCloseable {
    private val plan = createFaultPlan(seed, durationMs)
    private val cluster = SoakCluster(network, folder)
    private val record = SoakRecord()
    private val executor = Executors.newScheduledThreadPool(FAULT_THREADS)
    private val instanceFaultInjector = InstanceFaultInjector(cluster, record)
    private val serverFaultInjector = ServerFaultInjector(cluster, record)
    private val storeFaultInjector = StoreFaultInjector(cluster, record)

    /** Executes the run and returns its result. */
    fun run(): SoakOutcome {
        Thread.sleep(STARTUP_MS)
        check(cluster.gateways.all { it.isRunning }) { "an instance of seed $seed did not start; see its log" }
        val startedAtMs = cluster.clock.nowMs()
        val callers = SoakCallers(cluster, record, seed)
        callers.start()
        plan.forEach { planned -> executor.schedule({ inject(planned.fault) }, planned.atMs, TimeUnit.MILLISECONDS) }
        Thread.sleep(durationMs)
        executor.shutdown()
        check(executor.awaitTermination(FAULT_TIMEOUT_S, TimeUnit.SECONDS)) { "a fault of seed $seed did not end" }
        callers.stop()
        Thread.sleep(REQUEST_COMPLETION_MS)
        cluster.gateways.forEach { record.unexpectedExits.addAll(it.unexpectedExits) }
        val faultsEndedAtMs = record.disturbances.maxOfOrNull { it.toMs } ?: startedAtMs
        return SoakOutcome(
            seed,
            plan,
            startedAtMs,
            record.calls.toList(),
            record.stops.toList(),
            checkRun(record, cluster.runs(), faultsEndedAtMs),
        )
    }

    private fun inject(fault: Fault) = when (fault) {
        is Fault.InstanceFault -> instanceFaultInjector.inject(fault)
        is Fault.ServerFault -> serverFaultInjector.inject(fault)
        is Fault.StoreFault -> storeFaultInjector.inject(fault)
    }

    override fun close() {
        executor.shutdownNow()
        cluster.close()
    }
}
