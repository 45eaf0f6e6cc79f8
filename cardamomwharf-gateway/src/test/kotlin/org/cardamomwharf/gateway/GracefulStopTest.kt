/*
 * Tests that a planned stop waits for requests that have arrived.
 */
package org.cardamomwharf.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
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
import kotlin.concurrent.thread

private const val LISTENER = "callers"
private const val TIMEOUT_S = 30L
private const val STOP_MS = 20_000L

class GracefulStopTest : FunSpec({
    test("`a stop waits for a request that has arrived but isn't counted yet`") {
        val clock = monotonicClock()
        val threads = startHttpThreads(AsyncHttpServerSettings())
        val location = InstanceLocation(InstanceName("i"), ZoneName("z"), mapOf(ZoneName("z") to RegionName("r")))
        val parameters = SteeringParameters(RetryBudgetParameters(0.2, 10, 10_000))
        val steering = SynchronizedSteering(Steering(location, parameters), clock)
        val pool = startConnectionPool(ConnectionPoolSettings(), threads.executor, clock)
        val forwarding = ForwardingContext(steering, pool, threads.scheduler, clock) { }
        val arrived = CountDownLatch(1)
        val responseAllowed = CountDownLatch(1)
        val handler = AsyncHandler { _, response, callback ->
            arrived.countDown()
            thread {
                responseAllowed.await(TIMEOUT_S, TimeUnit.SECONDS)
                response.write(true, ByteBuffer.wrap("late".toByteArray()), callback)
            }
        }
        val server = createAsyncHttpServer(
            AsyncHttpServerSettings(),
            threads,
            listOf(HttpListener(LISTENER, SocketAddress("127.0.0.1", 0), handler)),
        )
        server.start()
        val socket = Socket("127.0.0.1", server.getPort(LISTENER))
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".toByteArray())
        arrived.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
        val stopped = CountDownLatch(1)
        val stop = GracefulStop(TaskContext(clock, DecisionLog(clock)), forwarding, server, STOP_MS, acceptMs = 0)
        thread {
            stop.run(LISTENER) { }
            stopped.countDown()
        }
        stopped.await(1, TimeUnit.SECONDS) shouldBe false
        responseAllowed.countDown()
        socket.getInputStream().bufferedReader().readText() shouldStartWith "HTTP/1.1 200"
        stopped.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
        server.stop()
    }
})
