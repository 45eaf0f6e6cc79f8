/*
 * Guards the bodies of the administration API and the names of metrics against renames in the code.
 */
package org.cardamomwharf.entry.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.step
import org.cardamomwharf.entry.admin.Explanation
import org.cardamomwharf.entry.admin.StatusReport
import org.cardamomwharf.entry.loop.Snapshot
import org.cardamomwharf.entry.metrics.EntryMetrics

private const val ANY_MS = 1_000_000L
private val service = ServiceName("reads")
private val zone = ZoneName("a")
private val address = SocketAddress("10.0.0.1", 80)

private const val DOCUMENT = """{"deployment":"d","objective":"LATENCY",
"partners":[{"name":"p","inboundRequestsPerSecond":100,"inboundBytesPerSecond":1000}],
"regions":[{"name":"north","partner":"p","zones":["a"]}],
"delays":{"betweenZonesMs":1.0,"betweenRegionsMs":10.0,"toClientsMs":1.0},"links":[],
"services":[{"name":"reads","isIdempotent":true,"weight":1,"expectedServiceMs":5,"expectedResponseBytes":100,
"cacheTtlMs":1000,"pools":[{"zone":"a","upstreams":1,"slotsPerUpstream":4,"connectionsPerUpstream":4}]}],
"clientBlocks":[]}"""

private fun sampleSnapshot(): Snapshot {
    val self = Member(InstanceName("e1"), Incarnation(1), zone, address, address)
    val head = DocumentHead(DocumentVersion(1), "hash", CapEpoch.FIRST)
    val events = listOf(
        EntryEvent.DocumentFetched(head, Json.decodeFromString(EnvironmentDocument.serializer(), DOCUMENT)),
        EntryEvent.PlatformListRead(
            listOf(ListedInstance(self.name, zone, address, address)),
            listOf(ListedServer(ServerName("s1"), service, zone, address)),
        ),
        EntryEvent.Tick(1),
    )
    val start = newEntryState(self, MembershipSettings(), EntryLimits(), ANY_MS)
    return Snapshot(events.fold(start) { state, event -> step(state, event, ANY_MS).state }, null, ANY_MS)
}

/** Returns the lines of a scrape without their values. */
private fun listNames(scrape: String): List<String> =
    scrape.lines().filter { it.isNotEmpty() }.map { if (it.startsWith("#")) it else it.substringBeforeLast(' ') }

class SerialFormsTest : FunSpec({
    checkForms("status", StatusReport.serializer(), Json)
    checkForms("explanation", Explanation.serializer(), Json)

    test("`names, labels and help texts of metrics are those that were recorded`") {
        val metrics = EntryMetrics()
        for (reason in Reason.entries) {
            metrics.countResponse(service, reason)
            metrics.countRefusal(reason)
            metrics.countRetry(service, reason)
        }
        metrics.countLookup(service)
        metrics.countPeerDrop()
        metrics.countExpired(1)
        metrics.observeLatency(service, 1)
        compareWithRecorded("metrics.txt", listNames(metrics.write(sampleSnapshot(), ANY_MS)))
    }
})
