/*
 * Connection to a backend server that carries one request at a time. It is reused only after a complete, framed
 * response to its own request, and closed when data arrives while no request is pending. A response that names another
 * request is skipped, because a backend server may send a response twice before the response to the next request.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.io.AbstractConnection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.Executor

internal class ServerConnection(
    endPoint: EndPoint,
    executor: Executor,
    private val settings: ConnectionPoolSettings,
    private val pool: ConnectionPool,
    pending: PendingConnection,
) : AbstractConnection(endPoint, executor) {
    val key: ServerKey = pending.key
    private var firstCall: ServerCall? = pending.call
    private val reader = ResponseReader(settings)
    private val parser = HttpParser(reader, settings.maxResponseHeadBytes).apply { headerCacheSize = 0 }
    private val input: ByteBuffer = BufferUtil.allocate(INPUT_BYTES)
    private var call: ServerCall? = null
    private var skipped = 0

    /** True once the connection has ended; no further call is sent, although it may not be closed yet. */
    private var isEnding = false

    @Volatile
    private var isWritten = false
    private val whenWritten = Callback.from(
        Invocable.InvocationType.NON_BLOCKING,
        { isWritten = true },
        { _ -> synchronized(this) { end(CallFailure.RESET) }.action() },
    )

    /** Time at which the connection last became idle. */
    var idleSinceMs: Long = 0

    /** Maximum time for which the connection stays idle before it is closed. */
    var idleTimeoutMs: Long = settings.idleTimeoutMs
        private set

    override fun onOpen() {
        super.onOpen()
        fillInterested()
        val first = checkNotNull(firstCall)
        firstCall = null
        pool.onOpen(this, first)
    }

    /** Sends [next]. Returns false if the connection can't be used any more and nothing was sent. */
    fun send(next: ServerCall): Boolean {
        val head = next.request.head.duplicate()
        val body = next.request.body?.duplicate() ?: EMPTY
        val attachment = synchronized(this) { attach(next, head, body) }
        when (attachment) {
            Attachment.WRITTEN -> Unit
            Attachment.WRITING -> endPoint.write(whenWritten, head, body)
            Attachment.CANCELLED -> pool.onIdle(this)
            Attachment.REFUSED -> discard()
        }
        return attachment != Attachment.REFUSED
    }

    /**
     * Makes [next] the call of this connection and flushes what it takes of [head] and [body]. Call while holding the
     * lock: a reader that ends the connection finds no call of which nothing was sent.
     */
    private fun attach(next: ServerCall, head: ByteBuffer, body: ByteBuffer): Attachment = try {
        BufferUtil.clear(input)
        // Bytes that no request is waiting for, or their end, make the connection unusable.
        isEnding = isEnding || endPoint.fill(input) != 0
        if (!isEnding) next.attach(this)
        when {
            isEnding -> Attachment.REFUSED
            next.isCompleted -> Attachment.CANCELLED
            else -> {
                call = next
                skipped = 0
                reader.reset()
                reader.body.reservation = next.reservation
                parser.reset()
                isWritten = endPoint.flush(head, body)
                if (isWritten) Attachment.WRITTEN else Attachment.WRITING
            }
        }
    } catch (@Suppress("SwallowedException") e: IOException) {
        call = null
        isEnding = true
        Attachment.REFUSED
    }

    override fun onFillable() {
        // The thread is left to other connections after each buffer, also when more input is available.
        val finished = synchronized(this) { readOnce().also { if (it == null) fillInterested() } }
        finished?.action?.invoke()
    }

    /** Reads one buffer and returns what ends the call or the connection, or null while more input is due. */
    private fun readOnce(): Finished? = try {
        BufferUtil.clear(input)
        val count = endPoint.fill(input)
        if (count < 0) parser.atEOF()
        when {
            count == 0 -> null
            call == null -> end(CallFailure.FOREIGN)
            else -> parse() ?: if (count < 0) end(CallFailure.TRUNCATED) else null
        }
    } catch (@Suppress("SwallowedException") e: IOException) {
        end(CallFailure.RESET)
    }

    private fun parse(): Finished? {
        val id = call?.request?.id
        val count = input.remaining()
        parser.parseNext(input)
        reader.recordRead(count)
        while (reader.isSkippable(id) && skipped < MAX_SKIPPED) {
            skipped++
            reader.reset()
            parser.reset()
            parser.parseNext(input)
        }
        val failure = reader.failure
        return when {
            failure != null -> end(failure)
            !reader.isComplete -> null
            reader.isMismatched(id) -> end(CallFailure.FOREIGN)
            else -> {
                val endedCall = checkNotNull(call)
                val response = reader.toResponse()
                val isReusableNow = reader.isPersistent() && skipped == 0 && isWritten && !input.hasRemaining()
                parseIdleTimeoutMs(response.fields)?.let { idleTimeoutMs = it }
                call = null
                reader.reset()
                if (isReusableNow) fillInterested()
                Finished {
                    if (isReusableNow) pool.onIdle(this) else discard()
                    endedCall.complete(validateResponse(response, endedCall.request.id))
                }
            }
        }
    }

    /** Ends the connection and, with [failure], the call that it carries. Call while holding the lock. */
    private fun end(failure: CallFailure): Finished {
        isEnding = true
        val failed = call.also { call = null }
        return Finished {
            discard()
            failed?.complete(CallResult.Lost(failure))
        }
    }

    /** Removes the connection from the pool and closes it. */
    fun discard() {
        pool.onDiscard(this)
        close()
    }

    /** Closes the connection if it still carries [cancelled]; otherwise it may belong to another call. */
    fun discardIfCarrying(cancelled: ServerCall) {
        val isCarrying = synchronized(this) { (call === cancelled).also { if (it) call = null } }
        if (isCarrying) discard()
    }

    override fun onClose(cause: Throwable?) {
        super.onClose(cause)
        pool.onClosed()
        val endedCall = synchronized(this) {
            reader.reset()
            call.also { call = null }
        }
        endedCall?.complete(CallResult.Lost(CallFailure.RESET))
    }

    /** Represents what became of a call that was to be sent. */
    private enum class Attachment { WRITTEN, WRITING, CANCELLED, REFUSED }

    /** Represents the end of the call or of the connection; [action] runs outside the lock. */
    private class Finished(val action: () -> Unit)

    private companion object {
        const val INPUT_BYTES = 16_384
        const val MAX_SKIPPED = 2
        val EMPTY: ByteBuffer = BufferUtil.EMPTY_BUFFER
    }
}
