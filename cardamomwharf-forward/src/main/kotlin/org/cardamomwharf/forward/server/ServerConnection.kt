/*
 * One connection to a backend server. It carries one request at a time and is used again only after an answer that was
 * whole, framed and ours; anything that arrives while no request is out closes it. An answer that names another request
 * is skipped: a backend server may send an answer twice, and the second one then stands where the next is expected.
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
    private val owner: ConnectionPool,
    opening: Opening,
) : AbstractConnection(endPoint, executor) {
    val key: ServerKey = opening.key
    private var firstCall: ServerCall? = opening.call
    private val reader = AnswerReader(settings, owner.heldBytes)
    private val parser = HttpParser(reader, settings.maxHeadBytes).apply { headerCacheSize = 0 }
    private val input: ByteBuffer = BufferUtil.allocate(INPUT_BYTES)
    private var call: ServerCall? = null
    private var skipped = 0

    @Volatile
    private var isWritten = false

    /** Time at which the connection became idle. */
    var idleSinceMs: Long = 0

    /** Time for which the connection is used when idle. */
    var keptForMs: Long = settings.idleTimeoutMs
        private set

    override fun onOpen() {
        super.onOpen()
        fillInterested()
        val first = checkNotNull(firstCall)
        firstCall = null
        owner.onOpen(this, first)
    }

    /** Returns false when the far end has closed the connection or has sent something. */
    fun isQuiet(): Boolean = try {
        BufferUtil.clear(input)
        endPoint.isOpen && endPoint.fill(input) == 0
    } catch (@Suppress("SwallowedException") e: IOException) {
        false
    }

    /** Sends [next]. Returns false, with nothing sent, when the connection turns out to be closed. */
    fun send(next: ServerCall): Boolean {
        synchronized(this) {
            call = next
            skipped = 0
            reader.reset()
            parser.reset()
        }
        next.attach(this)
        return try {
            val head = headOf(next.request, settings.maxHeadBytes)
            val body = next.request.body?.duplicate() ?: EMPTY
            isWritten = true // The answer may be read on another thread before flush returns.
            if (!endPoint.flush(head, body)) {
                isWritten = false
                endPoint.write(whenWritten(), head, body)
            }
            true
        } catch (@Suppress("SwallowedException") e: IOException) {
            synchronized(this) { call = null }
            discard()
            false
        }
    }

    private fun whenWritten(): Callback = Callback.from(
        Invocable.InvocationType.NON_BLOCKING,
        { isWritten = true },
        { _ -> fail(CallFailure.RESET) },
    )

    override fun onFillable() {
        val result = synchronized(this) {
            var latest: ReadResult
            do latest = readOnce() while (latest === ReadResult.More)
            latest
        }
        if (result is ReadResult.Ended) result.follow()
    }

    private fun readOnce(): ReadResult = try {
        BufferUtil.clear(input)
        val count = endPoint.fill(input)
        if (count < 0) parser.atEOF()
        when {
            count == 0 -> ReadResult.Waiting.also { fillInterested() }
            call == null -> ReadResult.Ended { discard() }
            else -> parse() ?: if (count < 0) ReadResult.Ended { fail(CallFailure.TRUNCATED) } else ReadResult.More
        }
    } catch (@Suppress("SwallowedException") e: IOException) {
        ReadResult.Ended { fail(CallFailure.RESET) }
    }

    private fun parse(): ReadResult? {
        val id = call?.request?.id
        val count = input.remaining()
        parser.parseNext(input)
        reader.noteRead(count)
        while (reader.isSkippable(id) && skipped < LARGEST_SKIPPED) {
            skipped++
            reader.reset()
            parser.reset()
            parser.parseNext(input)
        }
        val failure = reader.failure
        return when {
            failure != null -> ReadResult.Ended { fail(failure) }
            !reader.isWhole -> null
            reader.isForeignTo(id) -> ReadResult.Ended { fail(CallFailure.FOREIGN) }
            else -> {
                val ended = checkNotNull(call)
                val answer = reader.toAnswer()
                val isKept = reader.isPersistent() && skipped == 0 && isWritten && !input.hasRemaining()
                keptForMs(answer.fields)?.let { keptForMs = it }
                call = null
                reader.reset()
                if (isKept) fillInterested()
                ReadResult.Ended {
                    if (isKept) owner.onIdle(this) else discard()
                    ended.end(judge(answer, ended.request.id))
                }
            }
        }
    }

    private fun fail(failure: CallFailure) {
        val failed = synchronized(this) { call.also { call = null } }
        discard()
        failed?.end(CallResult.Lost(failure))
    }

    /** Closes the connection; it is never used again. */
    fun discard() {
        owner.onGone(this)
        close()
    }

    override fun onClose(cause: Throwable?) {
        super.onClose(cause)
        owner.onClosed()
        val ended = synchronized(this) {
            reader.reset()
            call.also { call = null }
        }
        ended?.end(CallResult.Lost(CallFailure.RESET))
    }

    /** What a look at the input led to. */
    private sealed interface ReadResult {
        /** There may be more to read. */
        data object More : ReadResult

        /** Nothing more is there yet. */
        data object Waiting : ReadResult

        /** The call or the connection ended; [follow] runs outside the lock. */
        class Ended(val follow: () -> Unit) : ReadResult
    }

    private companion object {
        const val INPUT_BYTES = 16_384
        const val LARGEST_SKIPPED = 2
        val EMPTY: ByteBuffer = BufferUtil.EMPTY_BUFFER
    }
}
