/*
 * One request to a backend server.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.eclipse.jetty.http.HttpFields
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean

/** Represents a request as it is sent; the answer has to repeat its [id]. */
public class ServerRequest(
    public val id: String,
    public val method: String,
    public val target: String,
    public val fields: HttpFields,
    public val body: ByteBuffer?,
)

/**
 * Represents a call.
 *
 * @param onEnd is told the end once, on a thread of the pool.
 */
public class ServerCall(
    public val server: ServerName,
    public val address: SocketAddress,
    public val request: ServerRequest,
    private val onEnd: (CallResult) -> Unit,
) {
    private val isEnded = AtomicBoolean(false)

    @Volatile
    private var connection: ServerConnection? = null

    /** True when the call has ended. */
    public val hasEnded: Boolean get() = isEnded.get()

    /** Gives the call up and closes its connection. */
    public fun cancel() {
        val current = connection
        end(if (current == null) CallResult.NotSent(CallFailure.CANCELLED) else CallResult.Lost(CallFailure.CANCELLED))
        current?.discard()
    }

    internal fun attach(next: ServerConnection) {
        connection = next
    }

    internal fun end(end: CallResult) {
        if (isEnded.compareAndSet(false, true)) onEnd(end)
    }
}
