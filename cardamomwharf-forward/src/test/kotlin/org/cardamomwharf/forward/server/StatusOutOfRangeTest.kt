/*
 * A backend server in trouble answers with a status that no final response has, such as 000. The call must fail, so
 * that the caller doesn't get the response, and its connection must be closed. Interim responses are skipped.
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
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val LIMIT_S = 20L
private const val ID = "a"
private const val BUDGET_BYTES = 1_000_000L
private val brokenStatuses = listOf("000", "001", "099", "101", "600", "799", "999", "0", "20", "2000", "-20", "abc")
private val finalStatuses = listOf(200, 204, 302, 404, 500, 599)

private fun responseWithStatus(status: String) = responseText(ID).replaceFirst("200 OK", "$status Odd")

class StatusOutOfRangeTest : FunSpec({
    val threads = QueuedThreadPool(8).apply { start() }
    val budget = createBodyBudget(BodyBudgetSettings(BUDGET_BYTES, 0, 0))
    val pool = startConnectionPool(ConnectionPoolSettings(), threads, monotonicClock())
    afterSpec {
        pool.close()
        threads.stop()
    }

    fun call(address: SocketAddress): CallResult {
        val fields = HttpFields.build().put("Host", "h").put(HeaderNames.REQUEST_ID, ID)
        val request = createServerRequest(ID, "GET", "/x", fields, null).getOrThrow { error(it) }
        val end = CompletableFuture<CallResult>()
        val room = checkNotNull(budget.reserve(0, isSmall = true))
        pool.send(ServerCall(ServerName("s"), address, request, room) { end.complete(it) })
        return end.get(LIMIT_S, TimeUnit.SECONDS).also { room.release() }
    }

    brokenStatuses.forEach { status ->
        test("`a response with the status $status fails the call and its connection is closed`") {
            val isClosed = CompletableFuture<Boolean>()
            ScriptedServer { connection, _ ->
                connection.readHead()
                connection.send(responseWithStatus(status))
                isClosed.complete(connection.awaitClose())
            }.use { server ->
                call(server.address) shouldBe CallResult.Lost(CallFailure.MALFORMED)
                isClosed.get(LIMIT_S, TimeUnit.SECONDS) shouldBe true
            }
        }
    }

    test("`responses with the statuses of final responses are returned`") {
        finalStatuses.forEach { status ->
            ScriptedServer { connection, _ ->
                connection.readHead()
                val text = responseWithStatus(status.toString())
                connection.send(if (status == 204) text.replace("4\r\n\r\nbody", "0\r\n\r\n") else text)
                connection.awaitClose()
            }.use { server ->
                call(server.address).shouldBeInstanceOf<CallResult.Completed>().response.status shouldBe status
            }
        }
    }

    listOf("100", "102", "103").forEach { status ->
        test("`an interim response with the status $status is skipped`") {
            ScriptedServer { connection, _ ->
                connection.readHead()
                connection.send("HTTP/1.1 $status Wait\r\n\r\n")
                connection.send(responseText(ID))
                connection.awaitClose()
            }.use { server ->
                call(server.address).shouldBeInstanceOf<CallResult.Completed>().response.status shouldBe 200
            }
        }
    }
})
