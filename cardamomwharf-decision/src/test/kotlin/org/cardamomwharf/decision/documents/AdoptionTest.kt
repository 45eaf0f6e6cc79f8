/*
 * Verifies that only newer documents are adopted, whatever the order of heads, fetches and peers.
 */
package org.cardamomwharf.decision.documents

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.support.EntryHarness
import org.cardamomwharf.decision.support.createMember
import org.cardamomwharf.decision.support.only
import org.cardamomwharf.decision.support.sampleDocument

private fun headOf(version: Long) = DocumentHead(DocumentVersion(version), "hash-$version")

private fun heartbeatWith(version: Long) = Heartbeat(
    sender = createMember("e2"),
    sequence = version,
    isLeaving = false,
    isJoining = false,
    liveViewHash = 0,
    settledViewHash = 0,
    documentVersion = DocumentVersion(version),
    loads = emptyList(),
)

class AdoptionTest : FunSpec({
    test("`a newer head is fetched once and adopted, an older one is ignored`") {
        val entry = EntryHarness()
        entry.handle(EntryEvent.HeadRead(headOf(2))).only<EntryEffect.FetchDocument>().head shouldBe headOf(2)
        entry.handle(EntryEvent.HeadRead(headOf(2))).shouldBeEmpty()
        entry.adopt(sampleDocument(), version = 2).only<EntryEffect.DocumentAdopted>()
        entry.handle(EntryEvent.HeadRead(headOf(1))).shouldBeEmpty()
        entry.adopt(sampleDocument(), version = 1).shouldBeEmpty()
        entry.state.adoption.version shouldBe DocumentVersion(2)
    }

    test("`while the store is unreachable a document is fetched from a peer that has it`") {
        val entry = EntryHarness()
        val fetch = entry.handle(EntryEvent.HeartbeatReceived(heartbeatWith(3)))
            .only<EntryEffect.FetchDocumentFromPeer>()
        fetch.peer shouldBe createMember("e2").name
    }

    test("`a failed fetch is repeated`") {
        val entry = EntryHarness()
        entry.handle(EntryEvent.HeadRead(headOf(2)))
        entry.handle(EntryEvent.DocumentFetchFailed)
        entry.handle(EntryEvent.HeadRead(headOf(2))).only<EntryEffect.FetchDocument>()
    }

    test("`the adopted version never decreases`") {
        checkAll(PropTestConfig(seed = 11, iterations = 200), Arb.list(Arb.int(0..40), 1..60)) { steps ->
            val entry = EntryHarness()
            var version = 0L
            for (step in steps) {
                entry.nowMs += step * 10L
                when (step % 3) {
                    0 -> entry.adopt(sampleDocument(), step.toLong())
                    1 -> entry.handle(EntryEvent.HeadRead(headOf(step.toLong())))
                    else -> entry.handle(EntryEvent.DocumentFetchFailed)
                }
                entry.state.adoption.version.value shouldBeGreaterThanOrEqual version
                version = entry.state.adoption.version.value
            }
        }
    }
})
