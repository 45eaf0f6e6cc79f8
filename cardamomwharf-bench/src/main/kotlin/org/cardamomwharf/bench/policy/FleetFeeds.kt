/*
 * What entry instances learn while a policy run goes on: newer documents and the load reports of their servers.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.servers.LoadReport

private const val LOAD_POLL_MS = 1_000.0

/** Documents are adopted within five seconds, as heads are polled. */
private const val ADOPTION_MS = 500L
private const val ADOPTION_STEPS = 10

internal class FleetFeeds(
    private val world: PolicyWorld,
    private val deliver: (FakeEntry, EntryEvent) -> Unit,
) {
    private var documentVersion = 1L

    /** Lets each of [entries] fetch the document that the world has now, a little later in each zone. */
    fun adopt(entries: List<FakeEntry>) {
        documentVersion++
        val head = DocumentHead(DocumentVersion(documentVersion), documentVersion.toString())
        val document = world.document
        for (entry in entries) {
            val inMs = ADOPTION_MS * world.time.below(ADOPTION_STEPS).toDouble()
            world.time.plan(inMs) { deliver(entry, EntryEvent.DocumentFetched(head, document)) }
        }
    }

    /** Reports the load of the servers of an entry instance's zone, over and over and late. */
    fun pollLoads(entry: FakeEntry) {
        for (server in world.servers.filter { it.place.zone == entry.member.zone }) {
            val report = LoadReport(world.reportOf(server), isLeaving = false)
            world.time.plan(world.case.reportLagMs.toDouble()) {
                deliver(entry, EntryEvent.LoadReported(ServerName(server.place.name), report))
            }
        }
        world.time.plan(LOAD_POLL_MS) { pollLoads(entry) }
    }
}
