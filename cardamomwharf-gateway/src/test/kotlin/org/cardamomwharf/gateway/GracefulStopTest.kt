/*
 * Tests that a planned stop waits for requests that have arrived.
 */
package org.cardamomwharf.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.forward.listener.AsyncHttpServerSettings
import org.cardamomwharf.forward.listener.HttpListener
import org.cardamomwharf.forward.listener.createAsyncHttpServer
import org.cardamomwharf.forward.listener.startHttpThreads
import org.cardamomwharf.forward.proxy.ForwardingContext
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.forward.server.ConnectionPoolSettings
import org.cardamomwharf.forward.server.startConnectionPool
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import java.net.Socket
import java.nio.ByteBuffer
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val LISTENER = "callers"
private const val TIMEOUT_S = 30L
private const val STOP_MS = 20_000L

/** The latest deadline of a request that may be sent during the stop: nine tenths of its time. */
private const val DEADLINE_MS = 18_000L

/** Step of a clock that the test controls: the time between two readings. */
private const val STEP_MS = 1_000L

/** A stop that takes no new requests, of a listener whose requests end when the test allows their responses. */
private class StopUnderTest(private val clock: Clock = monotonicClock(), logClock: Clock = clock) : AutoCloseable {
    private val threads = startHttpThreads(AsyncHttpServerSettings())
    private val location = InstanceLocation(InstanceName("i"), ZoneName("z"), mapOf(ZoneName("z") to RegionName("r")))
    private val parameters = SteeringParameters(RetryBudgetParameters(0.2, 10, 10_000))
    private val steering = SynchronizedSteering(Steering(location, parameters), clock)
    private val pool = startConnectionPool(ConnectionPoolSettings(), threads.executor, clock)
    private val forwarding = ForwardingContext(steering, pool, threads.scheduler, clock) { }
    private val arrived = CountDownLatch(1)
    private val responseAllowed = CountDownLatch(1)
    private val handler = AsyncHandler { _, response, callback ->
        arrived.countDown()
        thread {
            responseAllowed.await(TIMEOUT_S, TimeUnit.SECONDS)
            response.write(true, ByteBuffer.wrap("late".toByteArray()), callback)
        }
    }
    private val server = createAsyncHttpServer(
        AsyncHttpServerSettings(),
        threads,
        listOf(HttpListener(LISTENER, SocketAddress("127.0.0.1", 0), handler)),
    ).apply { start() }
    private val socket = Socket("127.0.0.1", server.getPort(LISTENER))
    private val context = TaskContext(clock, DecisionLog(logClock))
    private val stop = GracefulStop(context, forwarding, server, STOP_MS, acceptMs = 0)

    fun sendRequest() {
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".toByteArray())
        arrived.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
    }

    fun readResponse(): String {
        responseAllowed.countDown()
        return socket.getInputStream().bufferedReader().readText()
    }

    fun run(listener: String = LISTENER, notifyPeers: () -> Unit = { }) =
        stop.run(listener, clock.nowMs(), notifyPeers)

    override fun close() {
        socket.close()
        server.stop()
    }
}

/** Runs [run] and returns what it threw, or null. */
private fun failureOf(run: () -> Unit): Throwable? = runCatching(run).exceptionOrNull()

class GracefulStopTest : FunSpec({
    test("`a stop waits for a request that has arrived but isn't counted yet`") {
        StopUnderTest().use { stop ->
            stop.sendRequest()
            val stopped = CountDownLatch(1)
            thread {
                stop.run()
                stopped.countDown()
            }
            stopped.await(1, TimeUnit.SECONDS) shouldBe false
            stop.readResponse() shouldStartWith "HTTP/1.1 200"
            stopped.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
        }
    }

    // Guards against a step whose failure ends the process with requests under way.
    test("`a stop goes on if other instances can't be notified and nothing can be logged`") {
        val unreadable = Clock { error("no time") }
        StopUnderTest(logClock = unreadable).use { stop ->
            stop.sendRequest()
            var failure: Throwable? = null
            val stopping = thread { failure = failureOf { stop.run { throw NoClassDefFoundError("leave message") } } }
            stop.readResponse() shouldStartWith "HTTP/1.1 200"
            stopping.join()
            failure shouldBe null
        }
    }

    // Guards against a process that ends at the deadline of its last requests, before it has answered them.
    test("`a request whose deadline is the last allowed one is answered after it`") {
        val nowMs = AtomicLong()
        StopUnderTest(clock = { nowMs.get() }).use { stop ->
            stop.sendRequest()
            val stopped = CountDownLatch(1)
            thread {
                stop.run { nowMs.set(DEADLINE_MS) }
                stopped.countDown()
            }
            stopped.await(1, TimeUnit.SECONDS) shouldBe false
            stop.readResponse() shouldStartWith "HTTP/1.1 200"
            stopped.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
        }
    }

    // Guards against the end of a stop that couldn't close its listener or count its connections.
    test("`a stop lasts until its deadline if the listener can't be closed`") {
        val nowMs = AtomicLong()
        StopUnderTest(clock = { nowMs.addAndGet(STEP_MS) }).use { stop ->
            failureOf { stop.run(listener = "unknown") } shouldBe null
            nowMs.get() shouldBeGreaterThan DEADLINE_MS
        }
    }
})
