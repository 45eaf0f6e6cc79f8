/*
 * Uploads from the caller port to the server: many at once, without a length, too large, slow, broken off, and answered
 * before they are read. The memory of their bodies is bounded and given back.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.forward.bodies.BodyBudget
import org.cardamomwharf.forward.bodies.BodyBudgetSettings
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedConnection
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.steering.desired.TransferKind.UPLOAD
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val LIMIT_S = 20L
private const val UPLOADS = 40
private const val UPLOAD_BYTES = 100_000
private const val GENERAL_BYTES = 1_000_000L
private const val POLL_MS = 5L
private const val LARGEST_BYTES = 1_048_576

private fun createBudget() = createBodyBudget(BodyBudgetSettings(GENERAL_BYTES, 200_000, 100_000))

private fun head(path: String, id: String, fields: String) =
    "POST $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$fields\r\n"

private fun upload(id: String, bytes: Int, fields: String = "") =
    head("/r/x", id, "Content-Length: $bytes\r\nConnection: close\r\n$fields") + "u".repeat(bytes)

private fun chunked(id: String, bytes: Int) =
    head("/r/x", id, "Transfer-Encoding: chunked\r\nConnection: close\r\n") +
        ("3e8\r\n" + "c".repeat(1_000) + "\r\n").repeat(bytes / 1_000) + "0\r\n\r\n"

private fun bodyBytes(head: List<String>): Int =
    head.firstOrNull { it.startsWith("Content-Length:") }?.substringAfter(':')?.trim()?.toInt() ?: 0

/** Reads requests with their bodies and answers each with the length of its body. */
private fun answerAll(connection: ScriptedConnection, received: AtomicInteger = AtomicInteger()) {
    generateSequence { connection.readHead() }.forEach { head ->
        received.incrementAndGet()
        connection.send(responseText(findRequestId(head), connection.readBody(bodyBytes(head)).length.toString()))
    }
}

private fun awaitZero(budget: BodyBudget) {
    val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S)
    while (budget.heldBytes != 0L && System.nanoTime() < untilNs) Thread.sleep(POLL_MS)
    budget.heldBytes shouldBe 0
}

class LargeUploadTest : FunSpec({
    val callers = Executors.newCachedThreadPool()
    afterSpec { callers.shutdownNow() }

    fun <T> start(action: () -> T): CompletableFuture<T> = CompletableFuture.supplyAsync(action, callers)

    test("`of many uploads at once those without room are refused unsent, and small requests are served beside them`") {
        val budget = createBudget()
        val received = AtomicInteger()
        val mayAnswer = CountDownLatch(1)
        ScriptedServer { connection, _ ->
            generateSequence { connection.readHead() }.forEach { head ->
                val isUpload = bodyBytes(head) > 0
                if (isUpload) received.incrementAndGet()
                if (isUpload) mayAnswer.await()
                connection.readBody(bodyBytes(head))
                connection.send(responseText(findRequestId(head)))
            }
        }.use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = UPLOAD).use { gateway ->
                val all = (1..UPLOADS).map { start { gateway.exchange(upload("u$it", UPLOAD_BYTES)) } }
                while (all.count { it.isDone } < UPLOADS - GENERAL_BYTES / UPLOAD_BYTES) Thread.sleep(POLL_MS)
                repeat(10) {
                    val small = "GET /small/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: s$it\r\nConnection: close\r\n\r\n"
                    gateway.exchange(small) shouldStartWith "HTTP/1.1 200"
                    budget.heldBytes shouldBeLessThanOrEqual budget.settings.totalBytes
                }
                mayAnswer.countDown()
                val responses = all.map { it.get(LIMIT_S, TimeUnit.SECONDS) }
                val (served, refused) = responses.partition { it.startsWith("HTTP/1.1 200") }
                served.size shouldBe received.get()
                served.size.toLong() shouldBeLessThanOrEqual GENERAL_BYTES / UPLOAD_BYTES
                refused.forEach {
                    it shouldStartWith "HTTP/1.1 503"
                    it shouldContain "Retry-After: 0.500"
                    it shouldContain "Connection: close"
                    it shouldContain "no-body-room"
                }
                awaitZero(budget)
            }
        }
    }

    test("`an upload without a length arrives whole, and one that outgrows the room or the limit is refused unsent`") {
        val budget = createBudget()
        val received = AtomicInteger()
        ScriptedServer { connection, _ -> answerAll(connection, received) }.use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = UPLOAD).use { gateway ->
                gateway.exchange(chunked("a", 300_000)) shouldContain "\r\n\r\n300000"
                awaitZero(budget)
                val other = checkNotNull(budget.reserve(GENERAL_BYTES - 200_000, isSmall = false))
                gateway.exchange(chunked("b", 300_000)) shouldContain "no-body-room"
                other.release()
                awaitZero(budget)
                received.get() shouldBe 1
            }
            val large = createBodyBudget(BodyBudgetSettings(10_000_000, 0, 0))
            ForwardingGateway(server.address, budget = large, transfer = UPLOAD).use { gateway ->
                gateway.exchange(chunked("c", LARGEST_BYTES + 10_000)) shouldStartWith "HTTP/1.1 413"
                gateway.exchange(upload("d", LARGEST_BYTES + 1)) shouldStartWith "HTTP/1.1 413"
                gateway.exchange(upload("e", LARGEST_BYTES)) shouldContain "\r\n\r\n$LARGEST_BYTES"
                received.get() shouldBe 2
                awaitZero(large)
            }
        }
    }

    test("`a caller that waits for leave to send a body that is too large gets one response and no such leave`") {
        ScriptedServer { connection, _ -> answerAll(connection) }.use { server ->
            ForwardingGateway(server.address, budget = createBudget(), transfer = UPLOAD).use { gateway ->
                val fields = "Expect: 100-continue\r\nContent-Length: ${LARGEST_BYTES + 1}\r\n"
                val response = gateway.exchange(head("/r/x", "a", fields))
                response shouldStartWith "HTTP/1.1 413"
                response shouldContain "Connection: close"
                response.split("HTTP/1.1").size shouldBe 2
            }
        }
    }

    test("`a caller that leaves or stalls in the middle of its upload holds no memory`") {
        val budget = createBudget()
        val received = AtomicInteger()
        ScriptedServer { connection, _ -> answerAll(connection, received) }.use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = UPLOAD).use { gateway ->
                gateway.connect().use { caller ->
                    caller.getOutputStream().write(upload("a", UPLOAD_BYTES).dropLast(9).toByteArray())
                    while (budget.heldBytes < UPLOAD_BYTES) Thread.sleep(POLL_MS)
                }
                awaitZero(budget)
                val stalled = upload("b", UPLOAD_BYTES, "X-Deadline-Ms: 300\r\n").dropLast(9)
                gateway.exchange(stalled) shouldStartWith "HTTP/1.1 408"
                awaitZero(budget)
                received.get() shouldBe 0
            }
        }
    }

    test("`a server that resets or never reads an upload ends it once, and its memory is given back`") {
        val budget = createBudget()
        val heads = AtomicInteger()
        val mayEnd = CountDownLatch(1)
        ScriptedServer { connection, number ->
            connection.readHead()
            heads.incrementAndGet()
            if (number == 1) connection.reset() else mayEnd.await()
        }.use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = UPLOAD).use { gateway ->
                gateway.exchange(upload("a", UPLOAD_BYTES)) shouldStartWith "HTTP/1.1 502"
                Thread.sleep(600) // The server is ejected until then.
                gateway.exchange(upload("b", 900_000, "X-Deadline-Ms: 300\r\n")) shouldStartWith "HTTP/1.1 504"
                heads.get() shouldBe 2
                awaitZero(budget)
                mayEnd.countDown()
            }
        }
    }
})
