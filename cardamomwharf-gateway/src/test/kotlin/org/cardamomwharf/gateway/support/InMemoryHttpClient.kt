/*
 * An HTTP client that calls a handler of the same process, without a network. Long polls return immediately, because
 * tests run in virtual time.
 */
package org.cardamomwharf.gateway.support

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.PendingCall
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request

private val longPoll = Regex("wait_ms=\\d+")

/**
 * Represents a client of [handler].
 *
 * @param beforeCall runs before each call, with its path and query.
 */
internal class InMemoryHttpClient(
    private val handler: HttpHandler,
    private val beforeCall: (String) -> Unit = {},
) : HttpClient {
    /** True when no call gets through. */
    var isCutOff = false

    /** True when calls are carried out and their responses lost. */
    var isLosingResponses = false

    override fun start(call: HttpCall, onResult: (HttpResult) -> Unit): PendingCall {
        onResult(if (isCutOff) HttpResult.NotSent(HttpFailure.CONNECT) else perform(call))
        return object : PendingCall {
            override fun cancel() = Unit
        }
    }

    override fun close() = Unit

    private fun perform(call: HttpCall): HttpResult {
        val uri = call.url.removePrefix("http://").substringAfter('/').replace(longPoll, "wait_ms=0")
        beforeCall(uri)
        val request = Request(Method.valueOf(call.method), "/$uri").body(call.body.decodeToString())
        val response = handler(request)
        val fields = response.headers.map { (name, value) -> HttpField(name, value.orEmpty()) }
        val completed = HttpResponse(response.status.code, fields, response.bodyString().toByteArray())
        return if (isLosingResponses) HttpResult.Lost(HttpFailure.TIMEOUT) else HttpResult.Completed(completed)
    }
}
