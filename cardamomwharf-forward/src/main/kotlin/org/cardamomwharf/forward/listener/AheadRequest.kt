/*
 * A request that is handled before its turn on the connection. Its head comes from the look-ahead; whatever belongs to
 * the connection comes from the request that is pending.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpURI
import org.eclipse.jetty.server.ConnectionMetaData
import org.eclipse.jetty.server.Request
import java.util.concurrent.TimeoutException
import java.util.function.Predicate

/** Notifies of the disconnect of a caller whose response is pending. */
internal interface DisconnectSource {
    /** Calls [action] once if the caller closes the connection before [unwatchDisconnect]. */
    fun watchDisconnect(action: () -> Unit)

    /** Stops watching; must be called before the response is completed. */
    fun unwatchDisconnect()

    /** True if this process closed the connection as idle. */
    val isClosedAsIdle: Boolean
}

/** Source of the disconnect of this request's caller, or null if it can't be detected. */
internal val Request.disconnectSource: DisconnectSource?
    get() = this as? AheadRequest ?: connectionMetaData.connection.endPoint as? CallerEndPoint

/** Number of unanswered requests before this one on its connection when it was started; 0 for one in its turn. */
internal val Request.aheadPosition: Int get() = (this as? AheadRequest)?.position ?: 0

internal class AheadRequest(pending: Request, private val head: RequestHead, val position: Int) :
    Request.Wrapper(pending), DisconnectSource {
    private val uri = HttpURI.build(head.method, head.target).asImmutable()
    private val metaData = pending.connectionMetaData
    private var onDisconnect: (() -> Unit)? = null
    private var isCancelled = false

    override val isClosedAsIdle: Boolean
        get() = (metaData.connection.endPoint as? CallerEndPoint)?.isClosedAsIdle == true

    override fun getMethod(): String = head.method

    override fun getHttpURI(): HttpURI = uri

    override fun getHeaders(): HttpFields = head.fields

    override fun getLength(): Long = 0

    override fun getConnectionMetaData(): ConnectionMetaData = metaData

    /** Has no effect: the request that is in its turn decides whether the connection is idle. */
    override fun addIdleTimeoutListener(onIdleTimeout: Predicate<TimeoutException>) = Unit

    /** Calls [action] immediately if the request is already cancelled. */
    override fun watchDisconnect(action: () -> Unit) {
        val isLate = synchronized(this) { isCancelled.also { if (!it) onDisconnect = action } }
        if (isLate) action()
    }

    override fun unwatchDisconnect() {
        synchronized(this) { onDisconnect = null }
    }

    /** Returns true if this is the request that Jetty read as [request]. */
    fun isSame(request: Request): Boolean = request.method == head.method &&
        request.httpURI.pathQuery == uri.pathQuery && request.headers.size() == head.fields.size()

    /** Ends the request: nobody waits for its response any more. */
    fun cancel() {
        synchronized(this) {
            isCancelled = true
            onDisconnect.also { onDisconnect = null }
        }?.invoke()
    }
}
