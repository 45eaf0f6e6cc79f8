/*
 * A call to a backend server: the request and the delivery of its result.
 */
package org.cardamomwharf.forward.server

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.forward.bodies.BodyReservation
import org.eclipse.jetty.http.HttpFields
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean

/** Represents a request to a backend server; the response must repeat its [id]. */
public class ServerRequest internal constructor(
    public val id: String,
    internal val head: ByteBuffer,
    internal val body: ByteBuffer?,
)

/** Returns a request, or why its head can't be generated. */
public fun createServerRequest(
    id: String,
    method: String,
    target: String,
    fields: HttpFields,
    body: ByteBuffer?,
): Result<ServerRequest, HeadError> = generateHead(method, target, fields, body).map { ServerRequest(id, it, body) }

/**
 * Represents a call to a backend server.
 *
 * @param reservation room for the body of the response; whoever made it releases it.
 * @param onResult receives the result once, on a thread of the pool.
 */
public class ServerCall(
    public val server: ServerName,
    public val address: SocketAddress,
    public val request: ServerRequest,
    internal val reservation: BodyReservation,
    private val onResult: (CallResult) -> Unit,
) {
    private val completed = AtomicBoolean(false)

    @Volatile
    private var connection: ServerConnection? = null

    /** True when the call has a result. */
    public val isCompleted: Boolean get() = completed.get()

    /** Cancels the call and closes its connection, unless the connection carries another call by now. */
    public fun cancel() {
        val isSent = connection != null
        complete(if (isSent) CallResult.Lost(CallFailure.CANCELLED) else CallResult.NotSent(CallFailure.CANCELLED))
        connection?.discardIfCarrying(this)
    }

    internal fun attach(next: ServerConnection) {
        connection = next
    }

    internal fun complete(result: CallResult) {
        if (completed.compareAndSet(false, true)) onResult(result)
    }
}
