/*
 * Responses in which a backend server says that it is leaving, on the whole path from the caller port to the server.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import java.util.concurrent.atomic.AtomicInteger

private const val REQUESTS = 40

/** Longer than a server is ejected after its first failure. */
private const val EJECTION_MS = 600L
private const val LEAVING = "Server-Leaving: 1\r\n"

private fun request(number: Int) =
    "GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r$number\r\nX-Affinity-Key: k$number\r\nConnection: close\r\n\r\n"

/** Returns a server that responds with [status] and [fields], and counts the requests in [count]. */
private fun createServer(count: AtomicInteger, status: String, fields: String) = ScriptedServer { connection, _ ->
    generateSequence { connection.readHead() }.forEach {
        count.incrementAndGet()
        connection.send(responseText(findRequestId(it), extra = fields).replace("200 OK", status))
    }
}

class LeavingServerResponseTest : FunSpec({
    val forms = listOf(
        "200 OK" to LEAVING,
        "404 Not Found" to LEAVING,
        "500 Error" to LEAVING,
        "503 Busy" to "X-Not-Executed: 1\r\n$LEAVING",
        "201 Created" to "X-Server-Load: what\r\nServer-Limit: much\r\nserver-leaving:1\r\n",
    )
    forms.forEach { (status, fields) ->
        // Guards against a leaving server that gets requests until the store tells of it.
        test("`a server that says in a response with $status that it is leaving gets no further request`") {
            val leaving = AtomicInteger()
            val staying = AtomicInteger()
            createServer(leaving, status, fields).use { first ->
                createServer(staying, "200 OK", "").use { second ->
                    ForwardingGateway(first.address, second.address).use { gateway ->
                        repeat(REQUESTS) { gateway.exchange(request(it)) }
                        leaving.get() shouldBe 1
                        staying.get() shouldBe REQUESTS - if (status.startsWith("50")) 0 else 1
                    }
                }
            }
        }
    }

    test("`a server at the address of another one says nothing about it`") {
        val misdirected = AtomicInteger()
        createServer(misdirected, "421 Misdirected", LEAVING).use { server ->
            ForwardingGateway(server.address).use { gateway ->
                gateway.exchange(request(0)) shouldContain "503"
                Thread.sleep(EJECTION_MS)
                gateway.exchange(request(1))
                misdirected.get() shouldBe 2
            }
        }
    }

    test("`a server that says that it isn't leaving goes on getting requests`") {
        val staying = AtomicInteger()
        createServer(staying, "200 OK", "Server-Leaving: 0\r\n").use { server ->
            ForwardingGateway(server.address).use { gateway ->
                repeat(REQUESTS) { gateway.exchange(request(it)) }
                staying.get() shouldBe REQUESTS
            }
        }
    }
})
