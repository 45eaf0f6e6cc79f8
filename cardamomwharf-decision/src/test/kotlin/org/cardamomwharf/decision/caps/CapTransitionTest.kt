/*
 * While zones have different documents, are cut off from each other and start anew, their shares together never exceed
 * the cap of the oldest document in use.
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

/** One zone whose one instance adopts documents, is cut off, and is replaced by one that knows nothing. */
private class SpendingZone(val name: ZoneName) {
    var transition = CapTransition()
    var documentAt = -1
    var cutUntilMs = 0L

    fun adopt(document: EnvironmentDocument, at: Int, nowMs: Long) {
        val index = DocumentIndex(document)
        val shares = EpochShares(CapEpoch(at + 1L), computeZoneShares(index, name))
        transition = transition.adopt(shares, index.regionByZone.keys - document.stoppedZones.toSet(), nowMs)
        documentAt = at
    }

    fun stop() {
        transition = CapTransition()
        documentAt = -1
    }

    fun replace(documents: List<EnvironmentDocument>, nowMs: Long) {
        transition = CapTransition()
        if (documentAt >= 0) adopt(documents[documentAt], documentAt, nowMs)
    }
}

/** Operators change the cap and the zones while the zones follow in their own time. */
private class ChangingCaps(private val random: Random) {
    private val documents = mutableListOf(sampleDocument(linkBytesPerSecond = 1_000_000))
    private val zones = ALL_ZONES.map(::SpendingZone)
    private val mail = mutableListOf<Triple<Long, SpendingZone, Pair<ZoneName, CapEpoch>>>()
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
        zones.forEach(::act)
        deliver()
        val used = zones.filter { it.documentAt >= 0 }
        val before = used.sumOf { it.transition.shares[link] ?: 0 }
        val oldest = documents[used.minOf { it.documentAt }]
        val cap = oldest.links.first { it.from == NORTH }.capBytesPerSecond
        largestExcess = maxOf(largestExcess, before - cap * 90 / 100)
    }

    private fun nextDocument(): EnvironmentDocument {
        val whole = sampleDocument(linkBytesPerSecond = random.nextLong(100_000, 2_000_000))
        val isStopped = zones.first { it.name == NORTH_B }.documentAt < 0
        return if (isStopped && random.nextBoolean()) withoutZone(whole, NORTH_B) else whole
    }

    private fun act(zone: SpendingZone) {
        if (random.nextInt(60) == 0) zone.cutUntilMs = nowMs + random.nextLong(1_000, 60_000)
        if (zone.name == NORTH_B && random.nextInt(30) == 0) zone.stop()
        if (random.nextInt(80) == 0) zone.replace(documents, nowMs)
        val isCut = nowMs < zone.cutUntilMs
        val isBehind = zone.documentAt < documents.lastIndex
        if (!isCut && isBehind && random.nextInt(6) == 0) adoptNewer(zone, documents.lastIndex)
        hear(zone, zone.name to zone.transition.findOldestEpochInUse(nowMs))
        if (!isCut) tell(zone)
    }

    private fun hear(zone: SpendingZone, told: Pair<ZoneName, CapEpoch>) {
        val before = zone.transition.shares[link] ?: 0
        zone.transition = zone.transition.recordOldestEpoch(told.first, told.second)
        if ((zone.transition.shares[link] ?: 0) > before) raises++
    }

    private fun adoptNewer(zone: SpendingZone, newest: Int) {
        val at = if (zone.documentAt < 0) newest else random.nextInt(zone.documentAt + 1, newest + 1)
        zone.adopt(documents[at], at, nowMs)
    }

    private fun tell(from: SpendingZone) {
        val told = from.name to from.transition.findOldestEpochInUse(nowMs)
        zones.filter { it !== from }.forEach { mail += Triple(nowMs + random.nextLong(1, 4_000), it, told) }
    }

    private fun deliver() {
        val due = mail.filter { it.first <= nowMs && it.second.cutUntilMs <= nowMs }
        mail.removeAll { it.first <= nowMs }
        due.forEach { (_, to, told) -> hear(to, told) }
    }
}

private fun told(zone: ZoneName, epoch: Long, sequence: Long) = EntryEvent.SummaryReceived(
    ZoneSummary(zone, sequence, DocumentVersion(epoch), emptyList(), emptyList(), CapEpoch(epoch)),
    isRelayed = true,
)

private fun headOf(epoch: Long) = DocumentHead(DocumentVersion(epoch), "hash-$epoch", CapEpoch(epoch))

class CapTransitionTest : FunSpec({
    test("`shares of zones with different documents stay under the oldest cap in use`") {
        var raises = 0
        checkAll(PropTestConfig(seed = 20261205, iterations = 60), Arb.long()) { seed ->
            val world = ChangingCaps(Random(seed))
            world.run()
            (world.largestExcess <= 0) shouldBe true
            raises += world.raises
        }
        (raises > 60) shouldBe true
    }

    test("`a raised share waits until every zone has left the old caps`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        val before = entry.state.capLimiter.getRate(link)
        val raised = sampleDocument(linkBytesPerSecond = 2_000_000)
        entry.handle(EntryEvent.DocumentFetched(headOf(2), raised))
        entry.live(10_000)
        (ALL_ZONES - NORTH_A - SOUTH_A).forEach { entry.handle(told(it, epoch = 2, sequence = 1)) }
        entry.live(1_000)
        entry.state.capLimiter.getRate(link) shouldBe before
        entry.state.capTransition.awaitedZones shouldBe setOf(SOUTH_A)
        entry.handle(told(SOUTH_A, epoch = 2, sequence = 1))
        entry.live(1_000)
        entry.state.capLimiter.getRate(link) shouldBe before * 2
        entry.state.capTransition.awaitedZones.shouldBeEmpty()
    }

    test("`a lowered share is in force at once`") {
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
        entry.live(8_000)
        entry.state.capLimiter.getRate(link) shouldBe before * 2
    }

    test("`an instance that missed a change of the caps has no share until all zones have left it`") {
        val entry = readyEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        entry.handle(EntryEvent.DocumentFetched(headOf(4), sampleDocument(linkBytesPerSecond = 1_000_000)))
        entry.live(10_000)
        entry.state.capLimiter.getRate(link) shouldBe 0
        (ALL_ZONES - NORTH_A).forEach { entry.handle(told(it, epoch = 4, sequence = 1)) }
        entry.live(1_000)
        (entry.state.capLimiter.getRate(link) > 0) shouldBe true
    }

    test("`what no share covers can't be spent`") {
        val limiter = CapLimiter(burstMs = 100).update(emptyMap(), 64, 0)
        limiter.consume(listOf(CapCost(link, 1)), 1_000) shouldBe null
    }
})
