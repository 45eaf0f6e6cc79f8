/*
 * One connection to a backend server. It carries one request at a time and is used again only after an answer that was
 * whole, framed and ours; anything that arrives while no request is out closes it.
 */
package org.cardamomwharf.forward.server

import org.cardamomwharf.forward.FieldNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpGenerator
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpURI
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.http.MetaData
import org.eclipse.jetty.io.AbstractConnection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.Invocable
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.Executor
import java.util.concurrent.TimeoutException

internal class ServerConnection(
    endPoint: EndPoint,
    executor: Executor,
    private val settings: ServerPoolSettings,
    private val owner: ServerPool,
    val key: ServerKey,
    private var firstCall: ServerCall?,
) : AbstractConnection(endPoint, executor) {
    private val reader = AnswerReader(settings.largestAnswerBytes)
    private val parser = HttpParser(reader, settings.largestHeadBytes).apply { headerCacheSize = 0 }
    private val input: ByteBuffer = BufferUtil.allocate(INPUT_BYTES)
    private var call: ServerCall? = null
    private var skipped = 0

    @Volatile
    private var isWritten = false

    /** Time at which the connection became idle. */
    var idleSinceMs: Long = 0

    /** Time for which the backend server keeps an idle connection open, as far as it said. */
    var keptForMs: Long = settings.idleMs
        private set

    override fun onOpen() {
        super.onOpen()
        fillInterested()
        val call = firstCall
        firstCall = null
        owner.onOpen(this, checkNotNull(call))
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
            isWritten = false
            reader.reset()
            parser.reset()
        }
        next.attach(this)
        val head = headOf(next)
        val body = next.body?.duplicate()
        try {
            isWritten = true // The answer may be read on another thread before flush returns.
            val isDone = if (body == null) endPoint.flush(head) else endPoint.flush(head, body)
            if (!isDone) writeRest(head, body)
        } catch (@Suppress("SwallowedException") e: IOException) {
            synchronized(this) { call = null }
            discard()
            return false
        }
        return true
    }

    private fun writeRest(head: ByteBuffer, body: ByteBuffer?) {
        isWritten = false
        val rest = listOfNotNull(head, body).toTypedArray()
        val callback = Callback.from(
            Invocable.InvocationType.NON_BLOCKING,
            { isWritten = true },
            { _ -> fail(CallFailure.RESET) },
        )
        endPoint.write(callback, *rest)
    }

    private fun headOf(next: ServerCall): ByteBuffer {
        val fields = HttpFields.build(next.fields)
        next.body?.let { fields.put(HttpHeader.CONTENT_LENGTH, it.remaining().toLong()) }
        val length = next.body?.remaining()?.toLong() ?: 0L
        val request = MetaData.Request(next.method, HttpURI.from(next.target), HttpVersion.HTTP_1_1, fields, length)
        val head = BufferUtil.allocate(settings.largestHeadBytes)
        val generator = HttpGenerator()
        var result = generator.generateRequest(request, null, null, next.body?.duplicate(), true)
        while (result != HttpGenerator.Result.FLUSH && result != HttpGenerator.Result.DONE) {
            result = generator.generateRequest(request, head, null, next.body?.duplicate(), true)
        }
        return head
    }

    override fun onFillable() {
        val ended = synchronized(this) { read() }
        ended?.invoke()
    }

    /** Reads what there is and returns what to do outside the lock. */
    private fun read(): (() -> Unit)? {
        try {
            while (true) {
                BufferUtil.clear(input)
                val count = endPoint.fill(input)
                if (count == 0) {
                    fillInterested()
                    return null
                }
                if (call == null) return { discard() }
                if (count < 0) parser.atEOF()
                val ended = parse()
                if (ended != null) return ended
                if (count < 0) return { fail(CallFailure.TRUNCATED) }
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            return { fail(CallFailure.RESET) }
        }
    }

    private fun parse(): (() -> Unit)? {
        while (true) {
            parser.parseNext(input)
            val failure = reader.failure
            if (failure != null) return { fail(failure) }
            if (!reader.isWhole) return null
            if (!isForeign()) return finish()
            if (++skipped > LARGEST_SKIPPED || !reader.isPersistent()) return { fail(CallFailure.FOREIGN) }
            reader.reset()
            parser.reset()
        }
    }

    private fun isForeign(): Boolean {
        val isInterim = reader.status < SMALLEST_FINAL_STATUS
        val id = reader.fields.get(FieldNames.REQUEST_ID)
        return isInterim || (id != null && id != call?.requestId)
    }

    private fun finish(): () -> Unit {
        val ended = checkNotNull(call)
        val answer = reader.toAnswer()
        val isKept = reader.isPersistent() && skipped == 0 && isWritten && !input.hasRemaining()
        reader.fields.get(HttpHeader.KEEP_ALIVE)?.let(::noteKeepAlive)
        call = null
        if (isKept) fillInterested()
        return {
            if (isKept) owner.onIdle(this) else discard()
            ended.end(judge(answer, ended))
        }
    }

    private fun judge(answer: ServerAnswer, ended: ServerCall): CallEnd {
        val isSuccess = answer.status in SUCCESS
        val isOurs = answer.fields.get(FieldNames.REQUEST_ID) == ended.requestId
        val isSigned = answer.fields.contains(FieldNames.SIGNATURE)
        val isEncoded = answer.fields.contains(HttpHeader.CONTENT_ENCODING)
        val isUsable = !isSuccess || (isOurs && isSigned && !isEncoded)
        return if (isUsable) CallEnd.Answered(answer) else CallEnd.Lost(CallFailure.FOREIGN)
    }

    private fun noteKeepAlive(value: String) {
        val seconds = KEEP_ALIVE.find(value)?.groupValues?.get(1)?.toLongOrNull() ?: return
        keptForMs = (seconds * MS_PER_SECOND * KEPT_SHARE).toLong()
    }

    private fun fail(failure: CallFailure) {
        val failed = synchronized(this) { call.also { call = null } }
        discard()
        failed?.end(CallEnd.Lost(failure))
    }

    /** Closes the connection; it is never used again. */
    fun discard() {
        owner.onGone(this)
        close()
    }

    override fun onClose(cause: Throwable?) {
        super.onClose(cause)
        owner.onClosed()
    }

    override fun onFillInterestedFailed(cause: Throwable) {
        fail(CallFailure.RESET)
    }

    override fun onIdleExpired(timeout: TimeoutException): Boolean = false

    private companion object {
        const val INPUT_BYTES = 16_384
        const val LARGEST_SKIPPED = 2
        const val SMALLEST_FINAL_STATUS = 200
        const val MS_PER_SECOND = 1_000L

        /** Part of the time that a backend server names for which a connection is used; it may count from earlier. */
        const val KEPT_SHARE = 0.7
        val SUCCESS = 200..299
        val KEEP_ALIVE = Regex("timeout=(\\d+)")
    }
}
