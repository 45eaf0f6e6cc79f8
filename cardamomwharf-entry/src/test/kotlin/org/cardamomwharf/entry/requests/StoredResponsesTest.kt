/*
 * Tests that responses of attempts are stored only while their request is open.
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
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.peers.HandOverResultHandler
import org.cardamomwharf.entry.peers.OutgoingHandOver
import org.cardamomwharf.entry.peers.OutgoingHandOvers
import org.cardamomwharf.peer.HandedOverRequest
import org.cardamomwharf.peer.HandedOverResponse
import org.cardamomwharf.peer.PeerMessage

private val id = RequestId(1)
private val first = AttemptId("first")
private val second = AttemptId("second")
private val response = HandedOverResponse(200, emptyList(), "body".toByteArray())

private fun registeredRequest(receive: (HandedOverResponse?) -> Unit): RegisteredRequest {
    val spec = RequestSpec(
        id = id,
        service = ServiceName("stan"),
        origin = RequestOrigin.CALLER,
        isIdempotent = true,
        requestBytes = 1,
        deadlineAtMs = 1,
    )
    val forwardedRequest = HandedOverRequest("GET", "/item/1", emptyList(), ByteArray(0), fingerprint = "")
    return RegisteredRequest(spec, forwardedRequest) { _, serverResponse -> receive(serverResponse) }
}

class StoredResponsesTest : FunSpec({
    test("`a response that is not relayed is dropped when its request completes`") {
        val registry = RequestRegistry()
        val received = mutableListOf<HandedOverResponse?>()
        registry.add(registeredRequest { received += it })
        registry.storeResponse(id, first, response)
        registry.complete(EntryEffect.Respond(id, Reason.ANSWER_CROSSED))
        received shouldBe listOf(null)
        registry.storedResponseCount shouldBe 0
    }

    test("`the receiver gets only the response of the attempt that is relayed`") {
        val registry = RequestRegistry()
        val received = mutableListOf<HandedOverResponse?>()
        registry.add(registeredRequest { received += it })
        registry.storeResponse(id, first, response)
        registry.complete(EntryEffect.Respond(id, Reason.ANSWERED, attempt = second))
        received shouldBe listOf(null)
        registry.storeResponse(id, second, response)
        registry.storedResponseCount shouldBe 0
    }

    test("`responses in late or duplicate replies of peers are not stored`") {
        val registry = RequestRegistry()
        val handOvers = OutgoingHandOvers()
        val results = HandOverResultHandler(EventQueue(), registry, handOvers)
        registry.add(registeredRequest { })
        handOvers.add(first, OutgoingHandOver(id, SocketAddress("127.0.0.1", 8_100)))
        val reply = PeerMessage.HandOverReply(first, Reason.ANSWERED, 0, response)
        results.receiveReply(reply)
        registry.storedResponseCount shouldBe 1
        registry.complete(EntryEffect.Respond(id, Reason.ANSWERED, attempt = first))
        results.receiveReply(reply)
        registry.storedResponseCount shouldBe 0
        handOvers.size shouldBe 0
    }
})
