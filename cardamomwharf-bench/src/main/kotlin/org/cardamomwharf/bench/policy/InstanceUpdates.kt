/*
 * Delivers newer documents and load reports of servers to the entry instances during a policy run.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.servers.LoadReport

private const val LOAD_POLL_MS = 1_000.0

/** Instances adopt a document within five seconds because they poll for the newest version. */
private const val ADOPTION_STEP_MS = 500L
private const val ADOPTION_STEPS = 10

internal class InstanceUpdates(
    private val simulation: PolicySimulation,
    private val deliver: (SimulatedInstance, EntryEvent) -> Unit,
) {
    private var documentVersion = 1L

    /** Delivers the current document to each of [entries] after a random delay. */
    fun deliverDocument(entries: List<SimulatedInstance>) {
        documentVersion++
        val head = DocumentHead(DocumentVersion(documentVersion), documentVersion.toString())
        val document = simulation.document
        for (entry in entries) {
            val delayMs = ADOPTION_STEP_MS * simulation.clock.randomInt(ADOPTION_STEPS).toDouble()
            simulation.clock.schedule(delayMs) { deliver(entry, EntryEvent.DocumentFetched(head, document)) }
        }
    }

    /** Periodically delivers delayed load reports of the servers in the zone of [entry]. */
    fun pollLoads(entry: SimulatedInstance) {
        for (server in simulation.servers.filter { it.config.zone == entry.member.zone }) {
            val report = LoadReport(simulation.getReportedLoad(server), isLeaving = false)
            simulation.clock.schedule(simulation.case.reportLagMs.toDouble()) {
                deliver(entry, EntryEvent.LoadReported(ServerName(server.config.name), report))
            }
        }
        simulation.clock.schedule(LOAD_POLL_MS) { pollLoads(entry) }
    }
}
