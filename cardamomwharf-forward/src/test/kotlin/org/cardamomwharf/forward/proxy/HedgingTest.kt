/*
 * Hedged requests over real connections: the first answer counts, the other attempt is cancelled, and the caller gets
 * exactly one response, however the two attempts end.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedConnection
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.steering.hedging.HedgingParameters
import org.cardamomwharf.steering.requests.AttemptOutcome
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val LIMIT_S = 20L
private const val LATE_ID = "late"
private const val USUAL_REQUESTS = 60
private const val REFUSAL =
    "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: $LATE_ID\r\nContent-Length: 0\r\n\r\n"

/** Time for the gateway to read a response; longer only makes the test slower. */
private const val READ_MS = 300L

private fun requestText(id: String, path: String = "/r/x") =
    "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nConnection: close\r\n\r\n"

/** Two servers that answer at once, except for the late request, whose attempts [onAttempt] gets with their numbers. */
private class LateServers(
    maxShare: Double = 0.5,
    private val onAttempt: (ScriptedConnection, Int) -> Unit,
) : AutoCloseable {
    val lateAttempts = AtomicInteger()
    private val servers = List(2) { ScriptedServer { connection, _ -> serve(connection) } }
    val gateway = ForwardingGateway(*servers.map { it.address }.toTypedArray(), hedging = HedgingParameters(maxShare))

    /** Sends enough requests for the usual response time to be known. */
    fun learnUsual() {
        repeat(USUAL_REQUESTS) { gateway.exchange(requestText("usual-$it")) shouldStartWith "HTTP/1.1 200 " }
    }

    private fun serve(connection: ScriptedConnection) = generateSequence { connection.readHead() }.forEach { head ->
        val id = findRequestId(head)
        if (id == LATE_ID) onAttempt(connection, lateAttempts.incrementAndGet()) else connection.send(responseText(id))
    }

    /** Returns the trace of the late request. */
    fun awaitLateTrace(): RequestTrace {
        val next = { checkNotNull(gateway.traces.poll(LIMIT_S, TimeUnit.SECONDS)) }
        return generateSequence(next).first { it.requestId == LATE_ID }
    }

    override fun close() {
        gateway.close()
        servers.forEach { it.close() }
    }
}

class HedgingTest : FunSpec({
    test("`a late request is answered by its hedge, and the first attempt is cancelled at once`") {
        val isCancelled = CompletableFuture<Boolean>()
        LateServers { connection, number ->
            if (number == 1) isCancelled.complete(connection.awaitClose()) else connection.send(responseText(LATE_ID))
        }.use { servers ->
            servers.learnUsual()
            servers.gateway.exchange(requestText(LATE_ID)) shouldStartWith "HTTP/1.1 200 "
            isCancelled.get(LIMIT_S, TimeUnit.SECONDS) shouldBe true
            servers.awaitLateTrace().attempts.map { it.outcome to it.isHedge } shouldBe
                listOf(AttemptOutcome.ANSWERED.code to true, AttemptOutcome.SUPERSEDED.code to false)
        }
    }

    test("`when the first attempt is answered after the hedge was sent, the hedge is cancelled`") {
        val isHedgeSent = CompletableFuture<Unit>()
        val isCancelled = CompletableFuture<Boolean>()
        LateServers { connection, number ->
            if (number == 1) {
                isHedgeSent.get(LIMIT_S, TimeUnit.SECONDS)
                connection.send(responseText(LATE_ID, body = "first"))
            } else {
                isHedgeSent.complete(Unit)
                isCancelled.complete(connection.awaitClose())
            }
        }.use { servers ->
            servers.learnUsual()
            servers.gateway.exchange(requestText(LATE_ID)) shouldContain "first"
            isCancelled.get(LIMIT_S, TimeUnit.SECONDS) shouldBe true
        }
    }

    test("`a refusal of the first attempt while the hedge is pending doesn't reach the caller`") {
        val isHedgeSent = CompletableFuture<Unit>()
        val isRefused = CompletableFuture<Unit>()
        LateServers { connection, number ->
            if (number == 1) {
                isHedgeSent.get(LIMIT_S, TimeUnit.SECONDS)
                connection.send(REFUSAL)
                isRefused.complete(Unit)
            } else {
                isHedgeSent.complete(Unit)
                isRefused.get(LIMIT_S, TimeUnit.SECONDS)
                Thread.sleep(READ_MS)
                connection.send(responseText(LATE_ID))
            }
        }.use { servers ->
            servers.learnUsual()
            servers.gateway.exchange(requestText(LATE_ID)) shouldStartWith "HTTP/1.1 200 "
            servers.lateAttempts.get() shouldBe 2
        }
    }

    test("`when both attempts are lost, the caller learns that the request may have run`") {
        val isHedgeSent = CompletableFuture<Unit>()
        LateServers { connection, number ->
            if (number == 1) isHedgeSent.get(LIMIT_S, TimeUnit.SECONDS) else isHedgeSent.complete(Unit)
            connection.reset()
        }.use { servers ->
            servers.learnUsual()
            servers.gateway.exchange(requestText(LATE_ID)) shouldStartWith "HTTP/1.1 502 "
            servers.lateAttempts.get() shouldBe 2
        }
    }

    test("`when the caller leaves, both attempts are cancelled`") {
        val isHedgeSent = CompletableFuture<Unit>()
        val cancelled = List(2) { CompletableFuture<Boolean>() }
        LateServers { connection, number ->
            if (number == 2) isHedgeSent.complete(Unit)
            cancelled[number - 1].complete(connection.awaitClose())
        }.use { servers ->
            servers.learnUsual()
            servers.gateway.connect().use { socket ->
                socket.getOutputStream().write(requestText(LATE_ID).toByteArray())
                isHedgeSent.get(LIMIT_S, TimeUnit.SECONDS)
            }
            cancelled.forEach { it.get(LIMIT_S, TimeUnit.SECONDS) shouldBe true }
            servers.awaitLateTrace().attempts.map { it.outcome } shouldBe List(2) { AttemptOutcome.CALLER_GONE.code }
        }
    }

    listOf("/r/x" to 0.0, "/once/x" to 0.5).forEach { (path, maxShare) ->
        test("`a late request for $path is sent once when the operators' share is $maxShare`") {
            LateServers(maxShare) { connection, _ ->
                Thread.sleep(READ_MS)
                connection.send(responseText(LATE_ID))
            }.use { servers ->
                servers.learnUsual()
                servers.gateway.exchange(requestText(LATE_ID, path)) shouldStartWith "HTTP/1.1 200 "
                servers.lateAttempts.get() shouldBe 1
            }
        }
    }
})
