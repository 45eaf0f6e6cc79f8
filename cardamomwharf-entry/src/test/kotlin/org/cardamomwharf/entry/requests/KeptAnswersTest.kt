/*
 * Answers of attempts are kept only while their request is open.
 */
package org.cardamomwharf.entry.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.peers.HandOverResults
import org.cardamomwharf.entry.peers.HandedAttempt
import org.cardamomwharf.entry.peers.HandedAttempts
import org.cardamomwharf.peer.HandedOverRequest
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage

private val id = RequestId(1)
private val first = AttemptId("first")
private val second = AttemptId("second")
private val answer = HandedOverResponse(200, emptyList(), "body".toByteArray())

private fun bookedRequest(receive: (HandedOverResponse?) -> Unit): BookedRequest {
    val spec = RequestSpec(
        id = id,
        service = ServiceName("stan"),
        origin = RequestOrigin.CALLER,
        isIdempotent = true,
        requestBytes = 1,
        deadlineAtMs = 1,
    )
    val handed = HandedOverRequest("GET", "/item/1", emptyList(), ByteArray(0), fingerprint = "")
    return BookedRequest(spec, handed) { _, ran -> receive(ran) }
}

class KeptAnswersTest : FunSpec({
    test("`an answer that the decisions don't relay is dropped with its request`") {
        val book = RequestBook()
        val received = mutableListOf<HandedOverResponse?>()
        book.add(bookedRequest { received += it })
        book.keep(id, first, answer)
        book.finish(EntryEffect.Respond(id, Reason.ANSWER_CROSSED))
        received shouldBe listOf(null)
        book.keptAnswers shouldBe 0
    }

    test("`only the answer of the attempt that is relayed reaches the receiver`") {
        val book = RequestBook()
        val received = mutableListOf<HandedOverResponse?>()
        book.add(bookedRequest { received += it })
        book.keep(id, first, answer)
        book.finish(EntryEffect.Respond(id, Reason.ANSWERED, attempt = second))
        received shouldBe listOf(null)
        book.keep(id, second, answer)
        book.keptAnswers shouldBe 0
    }

    test("`answers of peers that come late or twice leave nothing behind`") {
        val book = RequestBook()
        val attempts = HandedAttempts()
        val results = HandOverResults(EventRing(), book, attempts)
        book.add(bookedRequest { })
        attempts.add(first, HandedAttempt(id, SocketAddress("127.0.0.1", 8_100)))
        val end = PeerMessage.HandOverReply(first, Reason.ANSWERED, 0, answer)
        results.take(end)
        book.keptAnswers shouldBe 1
        book.finish(EntryEffect.Respond(id, Reason.ANSWERED, attempt = first))
        results.take(end)
        book.keptAnswers shouldBe 0
        attempts.size shouldBe 0
    }
})
