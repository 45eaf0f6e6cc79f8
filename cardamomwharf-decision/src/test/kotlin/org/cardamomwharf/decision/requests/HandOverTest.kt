/*
 * Tests handing requests over: the choice of the instance, the caps, and the handling of unreachable instances.
 */
package org.cardamomwharf.decision.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.lookup.createLookupView
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.SummaryMember
import org.cardamomwharf.decision.membership.ZoneSummary
import org.cardamomwharf.decision.support.BOOKINGS
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.NORTH_A
import org.cardamomwharf.decision.support.READS
import org.cardamomwharf.decision.support.SOUTH_A
import org.cardamomwharf.decision.support.SOUTH_B
import org.cardamomwharf.decision.support.createHandedOverRequest
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.createRequest
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.readyEntry
import org.cardamomwharf.decision.support.sampleDocument

private val remote = createMember("s1", SOUTH_A)
private val secondRemote = createMember("s2", SOUTH_B)

private fun createSummary(member: Member, sequence: Long = 1): ZoneSummary {
    val loads = listOf(ServiceLoad(READS, 8, 8, 0), ServiceLoad(BOOKINGS, 8, 8, 0))
    val members = listOf(SummaryMember(member, isLeaving = false, loads))
    return ZoneSummary(member.zone, sequence, DocumentVersion(1), members, loads)
}

/** Returns an instance whose own slots are all taken and that has summaries of two zones of the other region. */
private fun fullEntry(
    document: EnvironmentDocument = sampleDocument(),
    limits: EntryLimits = EntryLimits(),
): EntryHarness {
    val entry = readyEntry(document, limits)
    listOf(remote, secondRemote).forEach {
        entry.handle(EntryEvent.SummaryReceived(createSummary(it), isRelayed = false))
    }
    (1L..8L).forEach { entry.submit(createRequest(it)) }
    entry.effects.clear()
    return entry
}

class HandOverTest : FunSpec({
    test("`a request without a free slot is handed over to another region within the caps`") {
        val handOver = fullEntry().submit(createRequest(20)).only<EntryEffect.HandOver>()
        handOver.peer shouldBe remote.name
        handOver.creditBytes shouldBe 1_000
    }

    test("`when the caps are exhausted and no request may wait, the request is refused with that reason`") {
        val entry = fullEntry(sampleDocument(linkBytesPerSecond = 100), EntryLimits(largestWaiting = 0))
        val effects = entry.submit(createRequest(20))
        effects.filterIsInstance<EntryEffect.HandOver>().shouldBeEmpty()
        effects.only<EntryEffect.Respond>().reason shouldBe Reason.CAP_REACHED
    }

    test("`an unreachable instance gets no further requests and is left out of look-ups`") {
        val entry = fullEntry()
        val first = entry.submit(createRequest(20)).only<EntryEffect.HandOver>()
        val failed = AttemptResult.NotSent(Reason.PEER_UNREACHABLE)
        val second = entry.handle(EntryEvent.AttemptEnded(first.attempt, failed)).only<EntryEffect.HandOver>()
        second.peer shouldBe secondRemote.name
        entry.submit(createRequest(21)).only<EntryEffect.HandOver>().peer shouldBe secondRemote.name
        val named = createLookupView(entry.state, entry.nowMs)?.candidates.orEmpty().map { it.member.name }
        (remote.name in named) shouldBe false
    }

    test("`an instance whose zone is not in the document hands no requests over to other zones`") {
        val entry = fullEntry()
        val whole = sampleDocument()
        val smaller = whole.copy(regions = whole.regions.map { it.copy(zones = it.zones - NORTH_A) })
        entry.handle(EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(2), "hash-2"), smaller))
        entry.submit(createRequest(20)).filterIsInstance<EntryEffect.HandOver>().shouldBeEmpty()
    }

    test("`a request from a peer is never handed over again`") {
        val entry = fullEntry()
        entry.submit(createHandedOverRequest(20, BOOKINGS)).only<EntryEffect.Forward>()
        entry.submit(createHandedOverRequest(21, READS)).only<EntryEffect.Respond>().reason shouldBe
            Reason.NO_SLOT
    }

    test("`a response larger than its credit is charged before it is sent`") {
        val entry = fullEntry(sampleDocument(linkBytesPerSecond = 1_000_000))
        val handOver = entry.submit(createRequest(20)).only<EntryEffect.HandOver>()
        entry.handle(EntryEvent.CreditRequested(handOver.attempt, missingBytes = 60_000)).shouldBeEmpty()
        val granted = (1..100).firstOrNull { entry.advance(20).any { it is EntryEffect.GrantCredit } }
        val zoneBytesPerSecond = 1_000_000 * 90 / 100 / 4
        val shortestMs = (60_000 - zoneBytesPerSecond / 10) * 1_000 / zoneBytesPerSecond
        ((granted ?: 0) * 20 >= shortestMs) shouldBe true
    }
})
