/*
 * Ends of a connection to a backend server that are decided while the connection passes on to another request: that
 * request must not be lost with it.
 */
package org.cardamomwharf.forward.server

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.forward.bodies.BodyBudgetSettings
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.io.ByteArrayEndPoint
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread

private const val BUDGET_BYTES = 1_000_000L
private const val OUTPUT_BYTES = 65_536
private const val ROUNDS = 3_000
private val key = ServerKey(ServerName("s"), SocketAddress("127.0.0.1", 1))

/** Reads input, and ends its connection, on the thread that adds the input or closes the end point. */
private class DirectEndPoint : ByteArrayEndPoint(ByteArray(0), OUTPUT_BYTES) {
    @Volatile
    private var isReset = false

    override fun execute(task: Runnable) = task.run()

    override fun fill(buffer: ByteBuffer): Int = if (isReset) throw IOException("reset") else super.fill(buffer)

    override fun flush(vararg buffers: ByteBuffer): Boolean =
        if (isReset) throw IOException("reset") else super.flush(*buffers)

    override fun onClose(failure: Throwable?) {
        super.onClose(failure)
        connection.onClose(failure)
    }

    /** Lets reading and writing fail from now on. */
    fun failIo() {
        isReset = true
        fillInterest.fillable()
    }
}

class ConnectionOwnershipTest : FunSpec({
    val threads = QueuedThreadPool(4).apply { start() }
    val budget = createBodyBudget(BodyBudgetSettings(BUDGET_BYTES, 0, 0))
    val pool = startConnectionPool(ConnectionPoolSettings(), threads, Clock { 0 })
    afterSpec {
        pool.close()
        threads.stop()
    }

    fun createCall(id: String, result: AtomicReference<CallResult>): ServerCall {
        val fields = HttpFields.build().put("Host", "h").put(HeaderNames.REQUEST_ID, id)
        val request = createServerRequest(id, "POST", "/x", fields, null).getOrThrow { error(it) }
        val room = checkNotNull(budget.reserve(0, isSmall = true))
        return ServerCall(key.server, key.address, request, room) { result.set(it) }
    }

    /** Opens a connection whose first call is [call]. */
    fun open(endPoint: DirectEndPoint, call: ServerCall): ServerConnection =
        ServerConnection(endPoint, threads, ConnectionPoolSettings(), pool, PendingConnection(pool, key, call, 0))
            .also {
                endPoint.connection = it
                it.onOpen()
            }

    // Guards against: a request ends by its deadline while its response is read, and closes the connection on which
    // another request was sent meanwhile.
    test("`a cancelled call leaves a connection alone that carries another call`") {
        val endPoint = DirectEndPoint()
        val first = createCall("a", AtomicReference())
        val connection = open(endPoint, first)
        endPoint.addInput(responseText("a"))
        val result = AtomicReference<CallResult>()
        connection.send(createCall("b", result)) shouldBe true
        first.cancel()
        endPoint.addInput(responseText("b"))
        result.get().shouldBeInstanceOf<CallResult.Completed>()
    }

    // Guards against: an idle connection is found expired, a request takes it, and the connection is closed.
    test("`an idle connection that is removed because it has expired can't be taken`") {
        val idle = IdleConnections()
        val connection = open(DirectEndPoint(), createCall("a", AtomicReference()))
        connection.idleSinceMs = 0
        idle.add(connection)
        idle.removeExpired(connection.idleTimeoutMs) shouldBe listOf(connection)
        idle.take(key, connection.idleTimeoutMs - 1).shouldBeNull()
    }

    /** Sends a call on an idle connection while [event] happens, and returns whether it was sent and its result. */
    fun sendWhile(event: DirectEndPoint.() -> Unit): Pair<Boolean, CallResult?> {
        val endPoint = DirectEndPoint()
        val connection = open(endPoint, createCall("a", AtomicReference()))
        endPoint.addInput(responseText("a"))
        val result = AtomicReference<CallResult>()
        val call = createCall("b", result)
        val start = CyclicBarrier(2)
        val other = thread {
            start.await()
            endPoint.event()
        }
        start.await()
        val isSent = connection.send(call)
        other.join()
        return isSent to result.get()
    }

    // Guards against: bytes that belong to no request end an idle connection while a request is sent on it.
    test("`a request isn't sent on a connection that is being closed because of unexpected bytes`") {
        repeat(ROUNDS) {
            val (_, result) = sendWhile { addInput("stray") }
            val isClosedUnderCall = result == CallResult.Lost(CallFailure.RESET)
            isClosedUnderCall shouldBe false
        }
    }

    // Guards against: a request counts as lost, so its caller gets 502, and is then sent on another connection.
    test("`a request of which nothing was sent because the connection was reset isn't lost`") {
        repeat(ROUNDS) {
            val (isSent, result) = sendWhile { failIo() }
            val isLostUnsent = !isSent && result != null
            isLostUnsent shouldBe false
        }
    }

    // Guards against: a request whose caller has left runs at a server, and its connection is never closed.
    test("`a call that was cancelled before it was sent isn't sent`") {
        val endPoint = DirectEndPoint()
        val connection = open(endPoint, createCall("a", AtomicReference()))
        endPoint.addInput(responseText("a"))
        endPoint.takeOutputString()
        val result = AtomicReference<CallResult>()
        val call = createCall("b", result)
        call.cancel()
        connection.send(call) shouldBe true
        endPoint.takeOutputString() shouldBe ""
        result.get() shouldBe CallResult.NotSent(CallFailure.CANCELLED)
    }
})
