/*
 * The state of the process in numbers, for the log and for metrics.
 */
package org.cardamomwharf.gateway.metrics

import org.cardamomwharf.core.Clock
import org.cardamomwharf.forward.course.CourseTools
import org.cardamomwharf.forward.course.GuardedSteering
import org.cardamomwharf.forward.server.ServerPool
import org.cardamomwharf.steering.instances.InstanceRegistry

private const val BYTES_PER_KB = 1_024

internal class ProcessState(
    private val tools: CourseTools,
    private val pool: ServerPool,
    private val steering: GuardedSteering,
    private val book: InstanceRegistry,
    private val clock: Clock,
) {
    /** Returns the numbers by name. */
    fun read(): Map<String, Long> {
        val runtime = Runtime.getRuntime()
        return mapOf(
            "heapUsedKb" to (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KB,
            "requestsUnderWay" to tools.requestsUnderWay.toLong(),
            "serverConnections" to pool.openConnections.toLong(),
            "serverConnectionsOpened" to pool.opened.get().toLong(),
            "desiredVersion" to steering.decide { decisions, _ -> decisions.routes.desired?.version?.value ?: 0L },
            "instances" to synchronized(book) { book.running(clock.nowMs()) }.size.toLong(),
        )
    }
}
