/*
 * Downloads from the server to the caller port: many at once with callers that don't read, that leave, and servers that
 * reset in the middle. The memory of their bodies is bounded and given back, and a response that has begun is read
 * whole.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.forward.bodies.BodyBudget
import org.cardamomwharf.forward.bodies.BodyBudgetSettings
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.steering.desired.TransferKind.DOWNLOAD
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val LIMIT_MS = 20_000L
private const val POLL_MS = 5L
private const val BODY_BYTES = 2_000_000
private const val HELD_DOWNLOADS = 6
private const val SEND_BUFFER_BYTES = 16_384
private const val WRITE_TIMEOUT_MS = 2_000L
private val body = "d".repeat(BODY_BYTES)

private fun createBudget() = createBodyBudget(BodyBudgetSettings(8_000_000, 6_000_000, 100_000))

private fun get(path: String, id: String) =
    "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nConnection: close\r\n\r\n"

private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

private fun Socket.readAll() = getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)

private fun await(limitMs: Long = LIMIT_MS, condition: () -> Boolean) {
    val untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs)
    while (!condition() && System.nanoTime() < untilNs) Thread.sleep(POLL_MS)
    condition() shouldBe true
}

private fun awaitZero(budget: BodyBudget) = await { budget.heldBytes == 0L }

/** Answers requests with a large body, or with a small one for small requests; [whole] counts the large ones. */
private fun createServer(received: AtomicInteger, whole: AtomicInteger = AtomicInteger()) =
    ScriptedServer { connection, _ ->
        generateSequence { connection.readHead() }.forEach { head ->
            val isSmall = head.first().contains("/small/")
            if (!isSmall) received.incrementAndGet()
            connection.send(responseText(findRequestId(head), if (isSmall) "small" else body))
            if (!isSmall) whole.incrementAndGet()
        }
    }

class LargeDownloadTest : FunSpec({
    test("`with callers that don't read, further downloads are refused unsent and small requests are served`") {
        val budget = createBudget()
        val received = AtomicInteger()
        val whole = AtomicInteger()
        createServer(received, whole).use { server ->
            ForwardingGateway(
                server.address,
                budget = budget,
                transfer = DOWNLOAD,
                sendBufferBytes = SEND_BUFFER_BYTES,
            ).use { gateway ->
                val held = (1..HELD_DOWNLOADS).map { number ->
                    gateway.connectSlow().also { it.send(get("/r/x", "d$number")) }
                }
                // Responses are read whole although no caller takes them.
                await { whole.get() == HELD_DOWNLOADS && budget.heldBytes == HELD_DOWNLOADS * BODY_BYTES.toLong() }
                repeat(10) {
                    val refused = gateway.exchange(get("/r/x", "r$it"))
                    refused shouldStartWith "HTTP/1.1 503"
                    refused shouldContain "no-body-room"
                    received.get() shouldBe HELD_DOWNLOADS
                    gateway.exchange(get("/small/x", "s$it")) shouldContain "small"
                    budget.heldBytes shouldBeLessThanOrEqual budget.settings.totalBytes
                }
                held.forEach { it.readAll().length shouldBeGreaterThan BODY_BYTES }
                awaitZero(budget)
            }
        }
    }

    test("`a caller that leaves, or takes its response for too long, holds no memory`") {
        val settings = BodyBudgetSettings(8_000_000, 6_000_000, 100_000, writeTimeoutMs = WRITE_TIMEOUT_MS)
        val budget = createBodyBudget(settings)
        createServer(AtomicInteger()).use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = DOWNLOAD, sendBufferBytes = SEND_BUFFER_BYTES)
                .use { gateway ->
                    gateway.connectSlow().use { caller ->
                        caller.send(get("/r/x", "a"))
                        await { budget.heldBytes >= BODY_BYTES }
                        Thread.sleep(WRITE_TIMEOUT_MS / 4)
                        budget.heldBytes shouldBe BODY_BYTES
                    }
                    await(WRITE_TIMEOUT_MS / 4) { budget.heldBytes == 0L }
                    gateway.connectSlow().use { caller ->
                        caller.send(get("/r/x", "b"))
                        await { budget.heldBytes >= BODY_BYTES }
                        awaitZero(budget)
                    }
                }
        }
    }

    test("`a caller that leaves while its response is being read, and a server that resets in it, leave no memory`") {
        val budget = createBudget()
        val mayEnd = CountDownLatch(1)
        ScriptedServer { connection, number ->
            val response = responseText(findRequestId(checkNotNull(connection.readHead())), body)
            connection.send(response.dropLast(1))
            if (number == 1) mayEnd.await() else connection.reset()
        }.use { server ->
            ForwardingGateway(server.address, budget = budget, transfer = DOWNLOAD).use { gateway ->
                gateway.connect().use { caller ->
                    caller.send(get("/r/x", "a"))
                    await { budget.heldBytes >= BODY_BYTES }
                }
                awaitZero(budget)
                gateway.exchange(get("/r/x", "b")) shouldStartWith "HTTP/1.1 50"
                awaitZero(budget)
                mayEnd.countDown()
            }
        }
    }

    test("`a response that is larger than expected uses the part for it and arrives whole`") {
        val budget = createBodyBudget(BodyBudgetSettings(500_000, BODY_BYTES.toLong(), 100_000))
        createServer(AtomicInteger()).use { server ->
            ForwardingGateway(server.address, budget = budget).use { gateway ->
                gateway.exchange(get("/r/x", "a")).length shouldBeGreaterThan BODY_BYTES
                awaitZero(budget)
            }
        }
    }
})
