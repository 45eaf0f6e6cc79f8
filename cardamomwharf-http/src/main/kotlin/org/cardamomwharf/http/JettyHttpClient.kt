/*
 * An [HttpClient] based on Jetty's client. The connection of a call that timed out or was cancelled is closed and not
 * reused, so that a late response can't be taken for the response to another request. Calls are neither retried nor
 * redirected.
 */
package org.cardamomwharf.http

import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpMethod
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.io.ManagedSelector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.io.IOException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.CancellationException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.client.HttpClient as JettyClient

/** Maximum size of a response head, in bytes; Jetty's client has no limit of its own. */
private const val MAX_RESPONSE_HEAD_BYTES = 32_768

/** Maximum size of a request head, in bytes; larger than the heads that the servers of this project accept. */
private const val MAX_REQUEST_HEAD_BYTES = 32_768

/** Maximum size of a response with its head and framing, in bytes: four times the largest body. */
private const val MAX_FRAMED_RESPONSE_BYTES = 16_777_216L

/** Returns a started HTTP client. */
public fun startJettyHttpClient(settings: HttpClientSettings): HttpClient {
    val threads = QueuedThreadPool(settings.maxThreads)
    threads.name = settings.name
    val client = JettyClient(HttpClientTransportOverHTTP(KeepAliveConnector())).apply {
        executor = threads
        connectTimeout = settings.connectTimeoutMs
        idleTimeout = settings.idleTimeoutMs
        maxConnectionsPerDestination = settings.maxConnections
        isFollowRedirects = false
        userAgentField = null
        maxResponseHeadersSize = MAX_RESPONSE_HEAD_BYTES
        maxRequestHeadersSize = MAX_REQUEST_HEAD_BYTES
    }
    client.start()
    client.contentDecoderFactories.clear()
    client.protocolHandlers.clear()
    return JettyHttpClient(client, settings.isConnectionReused)
}

/** Opens connections with TCP keep-alive, which detects lost connections, and with a limit of each response. */
private class KeepAliveConnector : ClientConnector() {
    init {
        selectors = 1
        sslContextFactory = emptySslContextFactory()
    }

    override fun configure(selectable: SelectableChannel) {
        super.configure(selectable)
        (selectable as? SocketChannel)?.let(::enableTcpKeepAlive)
    }

    override fun newEndPoint(selectable: SelectableChannel, selector: ManagedSelector, key: SelectionKey): EndPoint =
        LimitedEndPoint(selectable as SocketChannel, selector, key, scheduler, MAX_FRAMED_RESPONSE_BYTES)
}

private class JettyHttpClient(private val client: JettyClient, private val isConnectionReused: Boolean) : HttpClient {
    override fun start(call: HttpCall, onResult: (HttpResult) -> Unit): PendingCall {
        val isRequestBegun = AtomicBoolean(false)
        val request = client.newRequest(call.url)
            .method(HttpMethod.fromString(call.method) ?: HttpMethod.GET)
            .timeout(call.timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            .onRequestBegin { isRequestBegun.set(true) }
        addHeadersAndBody(request, call)
        request.send(ResultListener(call.maxResponseBytes, isRequestBegun, onResult))
        return JettyPendingCall(request)
    }

    private fun addHeadersAndBody(request: Request, call: HttpCall) {
        request.headers { fields ->
            call.headers.forEach { fields.add(it.name, it.value) }
            if (!isConnectionReused) fields.put(HttpHeader.CONNECTION, "close")
        }
        if (call.body.isNotEmpty()) request.body(BytesRequestContent(call.body))
    }

    override fun close() {
        client.stop()
    }
}

private class JettyPendingCall(private val request: Request) : PendingCall {
    override fun cancel() {
        request.abort(CancellationException("cancelled"))
    }
}

private class ResultListener(
    maxBytes: Int,
    private val isRequestBegun: AtomicBoolean,
    private val onResult: (HttpResult) -> Unit,
) : BufferingResponseListener(maxBytes) {
    /** Ends the call at an interim response: no call asks for one, and Jetty doesn't read on after it. */
    override fun onHeaders(response: Response) {
        if (response.status < HttpStatus.OK_200) response.abort(IOException("interim response ${response.status}"))
        super.onHeaders(response)
    }

    override fun onComplete(result: Result) {
        onResult(if (result.isFailed) createFailed(result) else createCompleted(result))
    }

    private fun createCompleted(result: Result): HttpResult {
        val headers = result.response.headers.map { HttpField(it.name, it.value.orEmpty()) }
        return HttpResult.Completed(HttpResponse(result.response.status, headers, content ?: ByteArray(0)))
    }

    private fun createFailed(result: Result): HttpResult {
        val cause = getFailure(result.requestFailure ?: result.responseFailure)
        val isResponseBegun = result.response != null && result.response.status > 0
        val failure = if (cause == HttpFailure.CLOSED && isResponseBegun) HttpFailure.TRUNCATED else cause
        return if (isRequestBegun.get()) HttpResult.Lost(failure) else HttpResult.NotSent(failure)
    }

    private fun getFailure(cause: Throwable?): HttpFailure = when (cause) {
        is CancellationException -> HttpFailure.CANCELLED
        is TimeoutException -> HttpFailure.TIMEOUT
        is java.net.ConnectException, is java.net.SocketTimeoutException -> HttpFailure.CONNECT
        is IllegalArgumentException -> HttpFailure.TOO_LARGE
        else -> HttpFailure.CLOSED
    }
}
