/*
 * Heads of requests and responses that fill the size up to which they are accepted. The gateway adds fields and spaces
 * to them before it passes them on.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.forward.listener.AsyncHttpServerSettings
import org.cardamomwharf.forward.server.ConnectionPoolSettings
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedConnection
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.fillFields
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.requestHead
import org.cardamomwharf.forward.support.responseText
import java.util.concurrent.ConcurrentLinkedQueue

private const val SMALL_BYTES = 200
private const val RAISED_BYTES = 40_000
private val requestLimitBytes = AsyncHttpServerSettings().maxHeadBytes
private val responseLimitBytes = ConnectionPoolSettings().maxResponseHeadBytes

/** Sizes of the fields that fill a head: one long field, many short ones, and many empty ones. */
private val fieldSizes = listOf(1_000_000, 40, 4)

private fun respondToAll(connection: ScriptedConnection, heads: ConcurrentLinkedQueue<List<String>>) {
    generateSequence { connection.readHead() }.forEach {
        heads.add(it)
        connection.send(responseText(findRequestId(it)))
    }
}

class FullHeadTest : FunSpec({
    fieldSizes.forEach { fieldBytes ->
        // Guards against a request head that is accepted and can't be passed on, so that its thread serves no caller.
        test("`request heads up to the limit with fields of $fieldBytes bytes are passed on, and others after them`") {
            val heads = ConcurrentLinkedQueue<List<String>>()
            ScriptedServer { connection, _ -> respondToAll(connection, heads) }.use { server ->
                ForwardingGateway(server.address).use { gateway ->
                    val sizes = listOf(0, 1, 4, 20, 40, 100).map { requestLimitBytes - it }
                    sizes.forEach { gateway.exchange(requestHead(it, fieldBytes)) shouldStartWith "HTTP/1.1 200" }
                    gateway.exchange(requestHead(SMALL_BYTES)) shouldStartWith "HTTP/1.1 200"
                    heads shouldHaveSize sizes.size + 1
                    val sent = requestHead(requestLimitBytes, fieldBytes).lines().count { it.startsWith("c:") }
                    heads.first().count { it.startsWith("c:") } shouldBe sent
                    gateway.exchange(requestHead(requestLimitBytes + 1, fieldBytes)) shouldStartWith "HTTP/1.1 431"
                }
            }
        }

        // Guards against a response that is lost because its head doesn't fit the buffer for callers.
        test("`response heads up to the limit with fields of $fieldBytes bytes are relayed`") {
            listOf(9_000, responseLimitBytes - 1, responseLimitBytes).forEach { bytes ->
                ScriptedServer { connection, _ ->
                    val own = responseText(findRequestId(connection.readHead()!!)).replace("200 OK", "200")
                    val fields = fillFields(bytes - own.length + "body".length, fieldBytes)
                    connection.send(own.replace("\r\n\r\n", "\r\n$fields\r\n"))
                }.use { server ->
                    ForwardingGateway(server.address).use { gateway ->
                        val response = gateway.exchange(requestHead(SMALL_BYTES))
                        response shouldStartWith "HTTP/1.1 200"
                        response shouldContain "X-Response-Signature"
                        response shouldEndWith "\r\n\r\nbody"
                    }
                }
            }
        }
    }

    // Guards against a limit that the operators set and that the caller port doesn't know.
    test("`the limit of the configuration holds for new connections, and the request ID fits the refusal`") {
        val heads = ConcurrentLinkedQueue<List<String>>()
        ScriptedServer { connection, _ -> respondToAll(connection, heads) }.use { server ->
            ForwardingGateway(server.address).use { gateway ->
                gateway.setMaxHeadBytes(RAISED_BYTES)
                gateway.exchange(requestHead(RAISED_BYTES)) shouldStartWith "HTTP/1.1 200"
                gateway.exchange(requestHead(RAISED_BYTES + 1)) shouldStartWith "HTTP/1.1 431"
                val longId = "i".repeat(RAISED_BYTES - SMALL_BYTES)
                val unrouted = requestHead(RAISED_BYTES, id = longId).replace("/r/x", "/q/x")
                gateway.exchange(unrouted).shouldContain("404").shouldContain(longId)
                gateway.setMaxHeadBytes(SMALL_BYTES)
                gateway.exchange(requestHead(SMALL_BYTES)) shouldStartWith "HTTP/1.1 200"
                gateway.exchange(requestHead(SMALL_BYTES + 1)) shouldStartWith "HTTP/1.1 431"
            }
        }
    }
})
