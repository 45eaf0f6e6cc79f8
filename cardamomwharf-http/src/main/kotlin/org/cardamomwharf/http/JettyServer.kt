/*
 * An HTTP server that runs http4k handlers on Jetty. It has its own adapter, because http4k's Jetty adapters aren't
 * available for this version of Jetty. Bodies are read completely before the handler runs.
 */
package org.cardamomwharf.http

import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.ConnectionLimit
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.concurrent.TimeoutException
import org.eclipse.jetty.server.Request as JettyRequest
import org.eclipse.jetty.server.Response as JettyResponse

private const val MAX_CONNECTIONS = 20_000
private const val STOP_TIMEOUT_MS = 1_000L

/** Represents a running HTTP server. */
public class JettyServer internal constructor(
    private val server: Server,
    private val connector: ServerConnector,
    private val bridge: Http4kBridge,
) {
    /** The port that the server listens on. */
    public val port: Int get() = connector.localPort

    /** Closes each connection after its next response, so that callers reconnect elsewhere before the server stops. */
    public fun disableKeepAlive() {
        bridge.isKeepAliveDisabled = true
    }

    /** Stops the server; idle connections are closed after a second, and open requests aborted after [timeoutMs]. */
    public fun stop(timeoutMs: Long = STOP_TIMEOUT_MS) {
        server.stopTimeout = timeoutMs
        try {
            server.stop()
        } catch (@Suppress("SwallowedException") e: TimeoutException) {
            check(server.isStopped || server.isFailed)
        }
    }
}

/** Returns a started server that passes complete requests to [handler] and reports refusals to [onRefusal]. */
public fun startJettyServer(
    settings: HttpServerSettings,
    onRefusal: (Reason) -> Unit = {},
    handler: HttpHandler,
): JettyServer {
    val threads = QueuedThreadPool(settings.maxThreads)
    threads.name = "http-${settings.address.port}"
    val server = Server(threads)
    val configuration = HttpConfiguration().apply {
        requestHeaderSize = settings.maxHeadBytes
        sendServerVersion = false
    }
    val connector = ServerConnector(server, HttpConnectionFactory(configuration)).apply {
        host = settings.address.host
        port = settings.address.port
        idleTimeout = settings.idleTimeoutMs
        acceptQueueSize = settings.acceptQueueSize
    }
    server.addConnector(connector)
    server.addBean(ConnectionLimit(MAX_CONNECTIONS, server))
    val bridge = Http4kBridge(settings, onRefusal, handler)
    server.handler = bridge
    server.errorHandler = RefusalErrorHandler(onRefusal)
    server.start()
    return JettyServer(server, connector, bridge)
}

/** Converts requests from Jetty's type to http4k's type, and responses in the opposite direction. */
internal class Http4kBridge(
    private val settings: HttpServerSettings,
    private val onRefusal: (Reason) -> Unit,
    private val handler: HttpHandler,
) : Handler.Abstract() {
    @Volatile
    var isKeepAliveDisabled: Boolean = false

    override fun handle(request: JettyRequest, response: JettyResponse, callback: Callback): Boolean {
        val body = Content.Source.asInputStream(request).readBody(settings.maxBodyBytes, request.length)
        val http4kResponse = when (body) {
            is BodyReadResult.Complete -> handler(toHttp4k(request, body.bytes))
            is BodyReadResult.TooLarge -> refuse(Reason.BODY_TOO_LARGE)
            is BodyReadResult.Truncated -> refuse(Reason.BODY_TRUNCATED)
        }
        write(http4kResponse, response, callback)
        return true
    }

    private fun refuse(reason: Reason): Response {
        onRefusal(reason)
        return refusalResponse(reason).header(HttpHeader.CONNECTION.asString(), "close")
    }

    private fun toHttp4k(request: JettyRequest, bytes: ByteArray): Request {
        val method = Method.entries.firstOrNull { it.name == request.method } ?: Method.GET
        val remote = JettyRequest.getRemoteAddr(request)
        val requestWithoutHeaders = Request(method, request.httpURI.pathQuery.orEmpty())
            .source(RequestSource(remote, JettyRequest.getRemotePort(request), request.httpURI.scheme))
            .body(Body(ByteBuffer.wrap(bytes)))
        return request.headers.fold(requestWithoutHeaders) { result, field -> result.header(field.name, field.value) }
    }

    private fun write(http4kResponse: Response, response: JettyResponse, callback: Callback) {
        val payload = http4kResponse.body.payload
        response.status = http4kResponse.status.code
        if (http4kResponse.header(HttpHeader.DATE.asString()) != null) response.headers.remove(HttpHeader.DATE)
        http4kResponse.headers
            .filter { !it.first.equals(HttpHeader.CONTENT_LENGTH.asString(), ignoreCase = true) }
            .forEach { (name, value) -> response.headers.add(name, value.orEmpty()) }
        if (isKeepAliveDisabled) response.headers.put(HttpHeader.CONNECTION, "close")
        response.headers.put(HttpHeader.CONTENT_LENGTH, payload.remaining().toLong())
        response.write(true, payload.slice(), callback)
    }
}

/** Returns the response to a request that was refused before it reached a handler. */
public fun refusalResponse(reason: Reason): Response =
    Response(Status(reason.status, reason.code))
        .header(HeaderNames.OUTCOME, reason.outcome.code)
        .header(HeaderNames.REASON, reason.code)
        .header("Content-Type", "text/plain")
        .body(reason.code + "\n")
