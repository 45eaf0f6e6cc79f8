/*
 * Verifies that the shares of all zones together never exceed the cap of the oldest document in use, while zones have
 * different documents, are cut off from each other and restart.
 */
package org.cardamomwharf.decision.caps

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.membership.ZoneSummary
import org.cardamomwharf.decision.support.ALL_ZONES
import org.cardamomwharf.decision.support.NORTH
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.NORTH_B
import org.cardamomwharf.decision.support.SOUTH
import org.cardamomwharf.decision.support.SOUTH_A
import org.cardamomwharf.decision.support.readyEntry
import org.cardamomwharf.decision.support.sampleDocument
import kotlin.random.Random

private const val STEP_MS = 500L
private const val STEPS = 400
private val link = CapId.LinkBytes(NORTH, SOUTH)

private fun withoutZone(document: EnvironmentDocument, zone: ZoneName): EnvironmentDocument = document.copy(
    regions = document.regions.map { Region(it.name, it.partner, it.zones - zone) },
    stoppedZones = listOf(zone),
)

/** A zone with one instance that adopts documents, loses its connections, and is replaced by one without state. */
private class SimulatedZone(val name: ZoneName) {
    var transition = CapTransition()
    var documentIndex = -1
    var partitionedUntilMs = 0L

    fun adopt(document: EnvironmentDocument, position: Int, nowMs: Long) {
        val index = DocumentIndex(document)
        val shares = EpochShares(CapEpoch(position + 1L), computeZoneShares(index, name))
        transition = transition.adopt(shares, index.regionByZone.keys - document.stoppedZones.toSet(), nowMs)
        documentIndex = position
    }

    fun stop() {
        transition = CapTransition()
        documentIndex = -1
    }

    fun replace(documents: List<EnvironmentDocument>, nowMs: Long) {
        transition = CapTransition()
        if (documentIndex >= 0) adopt(documents[documentIndex], documentIndex, nowMs)
    }
}

/** Simulates changes of the cap and of the zones, which the zones adopt at different times. */
private class CapChangeSimulation(private val random: Random) {
    private val documents = mutableListOf(sampleDocument(linkBytesPerSecond = 1_000_000))
    private val zones = ALL_ZONES.map(::SimulatedZone)
    private val reportsInTransit = mutableListOf<Triple<Long, SimulatedZone, Pair<ZoneName, CapEpoch>>>()
    private var nowMs = 0L
    var largestExcess = Long.MIN_VALUE
        private set
    var raises = 0
        private set

    fun run() {
        zones.forEach { it.adopt(documents.first(), 0, 0) }
        repeat(STEPS) { step() }
    }

    private fun step() {
        nowMs += STEP_MS
        if (random.nextInt(12) == 0) documents += nextDocument()
        zones.forEach(::stepZone)
        deliver()
        val active = zones.filter { it.documentIndex >= 0 }
        val total = active.sumOf { it.transition.shares[link] ?: 0 }
        val oldest = documents[active.minOf { it.documentIndex }]
        val cap = oldest.links.first { it.from == NORTH }.capBytesPerSecond
        largestExcess = maxOf(largestExcess, total - cap * 90 / 100)
    }

    private fun nextDocument(): EnvironmentDocument {
        val document = sampleDocument(linkBytesPerSecond = random.nextLong(100_000, 2_000_000))
        val isStopped = zones.first { it.name == NORTH_B }.documentIndex < 0
        return if (isStopped && random.nextBoolean()) withoutZone(document, NORTH_B) else document
    }

    private fun stepZone(zone: SimulatedZone) {
        if (random.nextInt(60) == 0) zone.partitionedUntilMs = nowMs + random.nextLong(1_000, 60_000)
        if (zone.name == NORTH_B && random.nextInt(30) == 0) zone.stop()
        if (random.nextInt(80) == 0) zone.replace(documents, nowMs)
        val isPartitioned = nowMs < zone.partitionedUntilMs
        val isBehind = zone.documentIndex < documents.lastIndex
        if (!isPartitioned && isBehind && random.nextInt(6) == 0) adoptNewer(zone, documents.lastIndex)
        receive(zone, zone.name to zone.transition.findOldestEpochInUse(nowMs))
        if (!isPartitioned) sendReport(zone)
    }

    private fun receive(zone: SimulatedZone, report: Pair<ZoneName, CapEpoch>) {
        val before = zone.transition.shares[link] ?: 0
        zone.transition = zone.transition.recordOldestEpoch(report.first, report.second)
        if ((zone.transition.shares[link] ?: 0) > before) raises++
    }

    private fun adoptNewer(zone: SimulatedZone, newest: Int) {
        val position = if (zone.documentIndex < 0) newest else random.nextInt(zone.documentIndex + 1, newest + 1)
        zone.adopt(documents[position], position, nowMs)
    }

    private fun sendReport(from: SimulatedZone) {
        val report = from.name to from.transition.findOldestEpochInUse(nowMs)
        zones.filter { it !== from }.forEach {
            reportsInTransit += Triple(nowMs + random.nextLong(1, 4_000), it, report)
        }
    }

    private fun deliver() {
        val arrived = reportsInTransit.filter { it.first <= nowMs && it.second.partitionedUntilMs <= nowMs }
        reportsInTransit.removeAll { it.first <= nowMs }
        arrived.forEach { (_, to, report) -> receive(to, report) }
    }
}

private fun summaryOf(zone: ZoneName, epoch: Long, sequence: Long) = EntryEvent.SummaryReceived(
    ZoneSummary(zone, sequence, DocumentVersion(epoch), emptyList(), emptyList(), CapEpoch(epoch)),
    isRelayed = true,
)

private fun headOf(epoch: Long) = DocumentHead(DocumentVersion(epoch), "hash-$epoch", CapEpoch(epoch))

class CapTransitionTest : FunSpec({
    test("`shares of zones with different documents add up to at most the oldest cap in use`") {
        var raises = 0
        checkAll(PropTestConfig(seed = 20261205, iterations = 60), Arb.long()) { seed ->
            val simulation = CapChangeSimulation(Random(seed))
            simulation.run()
            (simulation.largestExcess <= 0) shouldBe true
            raises += simulation.raises
        }
        (raises > 60) shouldBe true
    }

    test("`a raised share takes effect when every zone has stopped using the old caps`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        val before = entry.state.capLimiter.getRate(link)
        val raised = sampleDocument(linkBytesPerSecond = 2_000_000)
        entry.handle(EntryEvent.DocumentFetched(headOf(2), raised))
        entry.runFor(10_000)
        (ALL_ZONES - NORTH_A - SOUTH_A).forEach { entry.handle(summaryOf(it, epoch = 2, sequence = 1)) }
        entry.runFor(1_000)
        entry.state.capLimiter.getRate(link) shouldBe before
        entry.state.capTransition.awaitedZones shouldBe setOf(SOUTH_A)
        entry.handle(summaryOf(SOUTH_A, epoch = 2, sequence = 1))
        entry.runFor(1_000)
        entry.state.capLimiter.getRate(link) shouldBe before * 2
        entry.state.capTransition.awaitedZones.shouldBeEmpty()
    }

    test("`a lowered share takes effect at once`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        val before = entry.state.capLimiter.getRate(link)
        entry.handle(EntryEvent.DocumentFetched(headOf(2), sampleDocument(linkBytesPerSecond = 500_000)))
        entry.state.capLimiter.getRate(link) shouldBe before / 2
    }

    test("`a raised share doesn't wait for a zone that operators have stopped`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        val before = entry.state.capLimiter.getRate(link)
        val raised = sampleDocument(linkBytesPerSecond = 2_000_000).copy(stoppedZones = ALL_ZONES - NORTH_A)
        entry.handle(EntryEvent.DocumentFetched(headOf(2), raised))
        entry.state.capLimiter.getRate(link) shouldBe before
        entry.runFor(8_000)
        entry.state.capLimiter.getRate(link) shouldBe before * 2
    }

    test("`an instance that missed a change of the caps has no share until no zone uses the missed epoch`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        entry.handle(EntryEvent.DocumentFetched(headOf(4), sampleDocument(linkBytesPerSecond = 1_000_000)))
        entry.runFor(10_000)
        entry.state.capLimiter.getRate(link) shouldBe 0
        (ALL_ZONES - NORTH_A).forEach { entry.handle(summaryOf(it, epoch = 4, sequence = 1)) }
        entry.runFor(1_000)
        (entry.state.capLimiter.getRate(link) > 0) shouldBe true
    }

    test("`a cost of a cap without a share is refused`") {
        val limiter = CapLimiter(burstMs = 100).update(emptyMap(), 64, 0)
        limiter.consume(listOf(CapCost(link, 1)), 1_000) shouldBe null
    }
})
