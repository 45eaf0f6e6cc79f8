/*
 * Callers that send further requests before the first is answered: the requests are at the servers side by side, and
 * the responses come in the order of the requests.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cardamomwharf.forward.support.CallerConnection
import org.cardamomwharf.forward.support.CallerResponse
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ManualServers
import org.cardamomwharf.forward.support.getText
import org.cardamomwharf.forward.support.postText
import org.cardamomwharf.forward.support.requestHead
import java.util.concurrent.TimeUnit

private const val OK = 200
private const val NOT_FOUND = 404
private const val BAD_GATEWAY = 502
private const val UNAVAILABLE = 503
private const val GATEWAY_TIMEOUT = 504
private const val WAIT_S = 20L
private const val FLOOD_LINES = 200
private const val OTHERS = 200
private const val LARGE_HEAD_BYTES = 15_000
private const val RAISED_BYTES = 40_000

/** Requests on one connection that are at the servers together: the first and 8 behind it. */
private const val CONCURRENT = 9

private fun withCaller(test: (ManualServers, ForwardingGateway, CallerConnection) -> Unit) {
    ManualServers().use { servers ->
        ForwardingGateway(*servers.addresses).use { gateway ->
            CallerConnection(gateway.connect()).use { test(servers, gateway, it) }
        }
    }
}

private fun arrivals(vararg ids: String) = ids.map { "$it arrived" }.toSet()

private fun ForwardingGateway.awaitTrace(): RequestTrace = checkNotNull(traces.poll(WAIT_S, TimeUnit.SECONDS))

/** Serves a request on another connection, by which time bytes that were sent before are processed. */
private fun passAnother(servers: ManualServers, gateway: ForwardingGateway) {
    servers.respond("other")
    CallerConnection(gateway.connect()).use {
        it.send(getText("other"))
        it.read() shouldBe CallerResponse("other", OK)
    }
}

class RequestsAheadTest : FunSpec({
    test("`requests that arrive together are at the servers together and are answered in their order`") {
        withCaller { servers, gateway, caller ->
            caller.send(getText("a"), getText("b"), getText("c"))
            servers.awaitEvents(3) shouldBe arrivals("a", "b", "c")
            servers.respond("c")
            gateway.awaitTrace().run { requestId to aheadPosition } shouldBe ("c" to 2)
            servers.respond("b")
            gateway.awaitTrace().run { requestId to aheadPosition } shouldBe ("b" to 1)
            servers.respond("a")
            listOf("a", "b", "c").forEach { caller.read() shouldBe CallerResponse(it, OK) }
            gateway.awaitTrace().run { requestId to aheadPosition } shouldBe ("a" to 0)
        }
    }

    test("`a request that arrives while another is pending is sent on, and one behind the second as well`") {
        withCaller { servers, _, caller ->
            caller.send(getText("a"))
            servers.awaitEvents(1) shouldBe arrivals("a")
            caller.send(getText("b"))
            servers.awaitEvents(1) shouldBe arrivals("b")
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
            servers.awaitEvents(1)
            caller.send(getText("c"))
            servers.awaitEvents(1) shouldBe arrivals("c")
            servers.respond("c")
            servers.respond("b")
            listOf("b", "c").forEach { caller.read() shouldBe CallerResponse(it, OK) }
        }
    }

    test("`requests whose bytes arrive one by one are sent on as soon as their heads are complete`") {
        withCaller { servers, _, caller ->
            (getText("a") + getText("b")).forEach { caller.send("$it") }
            servers.awaitEvents(2) shouldBe arrivals("a", "b")
            val last = getText("c")
            caller.send(last.dropLast(1))
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
            servers.awaitEvents(1)
            caller.send(last.takeLast(1))
            servers.awaitEvents(1) shouldBe arrivals("c")
            servers.respond("b")
            servers.respond("c")
            listOf("b", "c").forEach { caller.read() shouldBe CallerResponse(it, OK) }
        }
    }

    test("`a large head behind a pending request is sent on, and one above the look-ahead in its turn`") {
        withCaller { servers, gateway, first ->
            first.send(getText("a"))
            servers.awaitEvents(1)
            first.send(requestHead(LARGE_HEAD_BYTES, id = "b"))
            servers.awaitEvents(1) shouldBe arrivals("b")
            gateway.setMaxHeadBytes(RAISED_BYTES)
            CallerConnection(gateway.connect()).use { caller ->
                caller.send(getText("c"), requestHead(RAISED_BYTES, id = "d"))
                servers.awaitEvents(1) shouldBe arrivals("c")
                servers.respond("c")
                caller.read() shouldBe CallerResponse("c", OK)
                servers.awaitEvents(2) shouldBe arrivals("d") + "c answered"
                servers.respond("d")
                caller.read() shouldBe CallerResponse("d", OK, isLast = true)
            }
        }
    }

    test("`a server that resets a request in any position costs that request only, after a second attempt`") {
        listOf("a", "b").forEach { lost ->
            withCaller { servers, _, caller ->
                servers.reset(lost)
                caller.send(getText("a"), getText("b"), getText("c"))
                servers.awaitEvents(4) shouldBe arrivals("a", "b", "c")
                (listOf("a", "b", "c") - lost).forEach { servers.respond(it) }
                listOf("a", "b", "c").forEach {
                    caller.read() shouldBe CallerResponse(it, if (it == lost) BAD_GATEWAY else OK)
                }
            }
        }
    }

    test("`all requests of a caller that goes away are cancelled at the servers`") {
        withCaller { servers, _, caller ->
            caller.send(getText("a"), getText("b"))
            servers.awaitEvents(2) shouldBe arrivals("a", "b")
            caller.send(getText("c"))
            servers.awaitEvents(1) shouldBe arrivals("c")
            listOf("a", "b", "c").forEach { servers.awaitClose(it) }
            caller.close()
            servers.awaitEvents(3) shouldBe setOf("a closed", "b closed", "c closed")
        }
    }

    test("`requests of a caller that goes away are cancelled after the first has been answered`") {
        withCaller { servers, _, caller ->
            caller.send(getText("a"), getText("b"), getText("c"))
            servers.awaitEvents(3)
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
            servers.awaitEvents(1)
            listOf("b", "c").forEach { servers.awaitClose(it) }
            caller.close()
            servers.awaitEvents(2) shouldBe setOf("b closed", "c closed")
        }
    }

    test("`the deadline of a request counts from its arrival, also while it isn't its turn`") {
        withCaller { servers, gateway, caller ->
            caller.send(getText("a"), getText("b", fields = "X-Deadline-Ms: 100\r\n"), getText("c"))
            servers.awaitEvents(3)
            gateway.awaitTrace().run { requestId to status } shouldBe ("b" to GATEWAY_TIMEOUT)
            servers.respond("a")
            servers.respond("c")
            caller.read() shouldBe CallerResponse("a", OK)
            caller.read() shouldBe CallerResponse("b", GATEWAY_TIMEOUT)
            caller.read() shouldBe CallerResponse("c", OK)
        }
    }

    test("`requests that are refused keep their place and leave the connection open`") {
        withCaller { servers, _, caller ->
            val tooLate = getText("c", fields = "X-Deadline-Ms: 1\r\n")
            caller.send(getText("a"), getText("b", "/unknown"), tooLate, getText("d"))
            servers.awaitEvents(2) shouldBe arrivals("a", "d")
            servers.respond("d")
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
            caller.read() shouldBe CallerResponse("b", NOT_FOUND)
            caller.read() shouldBe CallerResponse("c", UNAVAILABLE)
            caller.read() shouldBe CallerResponse("d", OK)
            servers.respond("e")
            caller.send(getText("e"))
            caller.read() shouldBe CallerResponse("e", OK)
        }
    }

    listOf(
        "has a body" to postText("b"),
        "may run only once" to getText("b", "/once/x"),
    ).forEach { (reason, text) ->
        test("`a request that $reason and all behind it wait for their turn`") {
            withCaller { servers, gateway, caller ->
                caller.send(getText("a"), text, getText("c"))
                servers.awaitEvents(1) shouldBe arrivals("a")
                passAnother(servers, gateway)
                servers.takeEvents() shouldBe listOf("other arrived", "other answered")
                servers.respond("a")
                servers.respond("b")
                servers.respond("c")
                listOf("a", "b", "c").forEach { caller.read() shouldBe CallerResponse(it, OK) }
                val inTurn = listOf("a answered", "b arrived", "b answered", "c arrived", "c answered")
                servers.takeEvents() shouldBe inTurn
            }
        }
    }

    test("`requests above the bound wait until those before them are answered`") {
        withCaller { servers, gateway, caller ->
            val ids = List(CONCURRENT + 2) { "r$it" }
            caller.send(*ids.map { getText(it) }.toTypedArray())
            servers.awaitEvents(CONCURRENT) shouldBe ids.take(CONCURRENT).map { "$it arrived" }.toSet()
            passAnother(servers, gateway)
            servers.takeEvents() shouldBe listOf("other arrived", "other answered")
            servers.respond(ids[0])
            servers.awaitEvents(2) shouldBe setOf("${ids[0]} answered", "${ids[CONCURRENT]} arrived")
            ids.drop(1).forEach { servers.respond(it) }
            ids.forEach { caller.read() shouldBe CallerResponse(it, OK) }
        }
    }

    test("`nothing is read behind a request that closes the connection`") {
        listOf("HTTP/1.1\r\nConnection: close", "HTTP/1.0").forEach { version ->
            withCaller { servers, gateway, caller ->
                caller.send(getText("a").replace("HTTP/1.1", version), getText("b"))
                servers.awaitEvents(1) shouldBe arrivals("a")
                passAnother(servers, gateway)
                servers.respond("a")
                caller.read()?.id shouldBe "a"
                caller.read() shouldBe null
                servers.takeEvents() shouldBe listOf("other arrived", "other answered", "a answered")
            }
        }
    }

    test("`nothing is read behind a request that expects a provisional response, which has its turn`") {
        withCaller { servers, gateway, caller ->
            caller.send(getText("a"), getText("b", fields = "Expect: 100-continue\r\n"), getText("c"))
            servers.awaitEvents(1) shouldBe arrivals("a")
            passAnother(servers, gateway)
            servers.takeEvents() shouldBe listOf("other arrived", "other answered")
            listOf("a", "b").forEach { servers.respond(it) }
            caller.read() shouldBe CallerResponse("a", OK)
            caller.read() shouldBe CallerResponse("b", OK, isLast = true)
            caller.read() shouldBe null
            servers.takeEvents() shouldBe listOf("a answered", "b arrived", "b answered")
        }
    }

    // Guards against a head of which Jetty holds one part and the end point the other, and neither waits for input.
    test("`a head is read whose first part came with a request and whose rest came while that was pending`") {
        withCaller { servers, gateway, caller ->
            caller.send(postText("a"), getText("b").dropLast(1))
            servers.awaitEvents(1) shouldBe arrivals("a")
            caller.send(getText("b").takeLast(1))
            passAnother(servers, gateway)
            servers.respond("a")
            servers.respond("b")
            listOf("a", "b").forEach { caller.read() shouldBe CallerResponse(it, OK) }
        }
    }

    test("`a graceful stop answers what was started and closes the connection with the last of it`") {
        withCaller { servers, gateway, caller ->
            caller.send(getText("a"), getText("b"))
            servers.awaitEvents(2) shouldBe arrivals("a", "b")
            gateway.beginStop()
            gateway.closeIdleConnections()
            caller.send(getText("c"))
            passAnotherWhileStopping(servers, gateway)
            servers.respond("b")
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
            caller.read() shouldBe CallerResponse("b", OK, isLast = true)
            caller.read() shouldBe null
            servers.takeEvents().filter { it.startsWith("c") }.shouldBeEmpty()
        }
    }

    test("`a caller that sends without end behind a pending request doesn't keep others from being served`") {
        withCaller { servers, gateway, caller ->
            caller.send(getText("a"))
            servers.awaitEvents(1)
            floodWithEmptyLines(caller)
            repeat(OTHERS) { passAnother(servers, gateway) }
            servers.respond("a")
            caller.read() shouldBe CallerResponse("a", OK)
        }
    }
})

/** Sends until the connection ends. */
private fun floodWithEmptyLines(caller: CallerConnection) {
    val lines = "\r\n".repeat(FLOOD_LINES)
    val flood = Runnable { runCatching { generateSequence { lines }.forEach { caller.send(it) } } }
    Thread(flood).apply { isDaemon = true }.start()
}

private fun passAnotherWhileStopping(servers: ManualServers, gateway: ForwardingGateway) {
    servers.respond("other")
    CallerConnection(gateway.connect()).use {
        it.send(getText("other"))
        it.read() shouldBe CallerResponse("other", OK, isLast = true)
    }
}
