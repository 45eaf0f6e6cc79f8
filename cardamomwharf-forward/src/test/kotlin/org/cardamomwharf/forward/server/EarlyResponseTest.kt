/*
 * A backend server answers before it has read the body of the request and reads on later: the call ends with the
 * response, and no other request is sent where the rest of the body is due.
 */
package org.cardamomwharf.forward.server

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.forward.bodies.BodyBudgetSettings
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val LIMIT_S = 20L

/** More than the buffers of a connection on the loopback interface hold. */
private const val BODY_BYTES = 16_000_000
private const val READ_DELAY_MS = 300L

class EarlyResponseTest : FunSpec({
    val threads = QueuedThreadPool(8).apply { start() }
    val budget = createBodyBudget(BodyBudgetSettings(BODY_BYTES.toLong(), 0, 0))
    val pool = startConnectionPool(ConnectionPoolSettings(), threads, monotonicClock())
    afterSpec {
        pool.close()
        threads.stop()
    }

    fun call(address: SocketAddress, id: String, bytes: Int): CallResult {
        val end = CompletableFuture<CallResult>()
        val fields = HttpFields.build().put("Host", "h").put(HeaderNames.REQUEST_ID, id)
        val body = ByteBuffer.wrap(ByteArray(bytes) { 'u'.code.toByte() })
        val request = createServerRequest(id, "POST", "/x", fields, body).getOrThrow { error(it) }
        val room = checkNotNull(budget.reserve(0, isSmall = false))
        pool.send(ServerCall(ServerName("s"), address, request, room) { end.complete(it) })
        return end.get(LIMIT_S, TimeUnit.SECONDS).also { room.release() }
    }

    test("`a connection whose server answers before it has read the body carries no further request`") {
        val behind = CompletableFuture<String>()
        ScriptedServer { connection, number ->
            val head = checkNotNull(connection.readHead())
            connection.send(responseText(findRequestId(head)))
            if (number == 1) {
                Thread.sleep(READ_DELAY_MS)
                behind.complete(connection.readBody(BODY_BYTES + 1))
            }
        }.use { server ->
            call(server.address, "a", BODY_BYTES).shouldBeInstanceOf<CallResult.Completed>()
            call(server.address, "b", 1).shouldBeInstanceOf<CallResult.Completed>()
            server.accepted.get() shouldBe 2
            behind.get(LIMIT_S, TimeUnit.SECONDS).all { it == 'u' } shouldBe true
            budget.heldBytes shouldBe 0
        }
    }
})
