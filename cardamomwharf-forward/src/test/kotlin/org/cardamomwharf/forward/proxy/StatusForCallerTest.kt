/*
 * What a caller gets when a backend server answers with a status that no final response has: the response of another
 * server, or 502.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedConnection
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.forward.support.serveForever
import java.util.concurrent.CompletableFuture

private const val REQUEST = "GET /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nConnection: close\r\n\r\n"

private fun ScriptedConnection.answerWith(status: String) {
    val id = findRequestId(checkNotNull(readHead()))
    send(responseText(id).replaceFirst("200 OK", "$status Odd"))
    awaitClose()
}

class StatusForCallerTest : FunSpec({
    listOf("000", "600").forEach { status ->
        test("`a caller gets 502 when the only server answers with the status $status`") {
            ScriptedServer { connection, _ -> connection.answerWith(status) }.use { server ->
                ForwardingGateway(server.address).use { it.exchange(REQUEST) shouldStartWith "HTTP/1.1 502 " }
            }
        }

        test("`a caller gets the response of another server when the first one answers with the status $status`") {
            val isAnswered = CompletableFuture<Unit>()
            val serve = { connection: ScriptedConnection, _: Int ->
                if (isAnswered.complete(Unit)) connection.answerWith(status) else connection.serveForever()
            }
            ScriptedServer(serve).use { one ->
                ScriptedServer(serve).use { other ->
                    ForwardingGateway(one.address, other.address).use {
                        val response = it.exchange(REQUEST)
                        response shouldStartWith "HTTP/1.1 200 "
                        response shouldEndWith "\r\n\r\nbody"
                    }
                }
            }
        }
    }
})
