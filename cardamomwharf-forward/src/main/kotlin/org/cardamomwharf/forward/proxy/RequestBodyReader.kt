/*
 * Reads the body of a caller's request into a buffer, as it arrives and without a thread that waits for it. A body that
 * isn't complete by the deadline of the request ends there, so that a slow caller can't hold its memory for longer.
 */
package org.cardamomwharf.forward.proxy

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cardamomwharf.forward.bodies.BodyBuffer
import org.cardamomwharf.forward.bodies.BodyBufferError
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.util.thread.Scheduler
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Represents why a body was not read. */
internal enum class BodyError {
    /** The caller closed the connection, or the body violates the protocol. */
    TRUNCATED,

    /** The body did not arrive in time. */
    TIMEOUT,

    /** The body exceeds its maximum size. */
    TOO_LARGE,

    /** The memory for bodies is used up. */
    NO_ROOM,
}

/** Reads the body of [request] into [body]; [onEnd] receives the result once. */
internal class RequestBodyReader(
    private val request: Request,
    private val body: BodyBuffer,
    private val onEnd: (Result<ByteBuffer, BodyError>) -> Unit,
) {
    private var isEnded = false
    private var timer: Scheduler.Task? = null

    /** Starts to read; the body has to arrive within [timeoutMs]. */
    fun start(scheduler: Scheduler, timeoutMs: Long) {
        body.declaredBytes = request.length
        timer = scheduler.schedule({ end(Err(BodyError.TIMEOUT)) }, timeoutMs, TimeUnit.MILLISECONDS)
        read()
    }

    private fun read() {
        var chunk = request.read()
        while (chunk != null) {
            val result = consume(chunk)
            if (result != null) return end(result)
            chunk = request.read()
        }
        request.demand(::read)
    }

    /** Appends [chunk] and returns the result, or null while more is due. */
    private fun consume(chunk: Content.Chunk): Result<ByteBuffer, BodyError>? {
        if (Content.Chunk.isFailure(chunk)) return Err(errorOf(chunk.failure))
        val error = synchronized(this) { if (isEnded) BodyBufferError.NO_ROOM else body.append(chunk.byteBuffer) }
        val isLast = chunk.isLast
        chunk.release()
        return when (error) {
            BodyBufferError.TOO_LARGE -> Err(BodyError.TOO_LARGE)
            BodyBufferError.NO_ROOM -> Err(BodyError.NO_ROOM)
            null -> if (isLast) Ok(ByteBuffer.wrap(body.toByteArray())) else null
        }
    }

    private fun errorOf(failure: Throwable): BodyError =
        if (failure is TimeoutException) BodyError.TIMEOUT else BodyError.TRUNCATED

    private fun end(result: Result<ByteBuffer, BodyError>) {
        synchronized(this) {
            if (isEnded) return
            isEnded = true
        }
        timer?.cancel()
        onEnd(result)
    }
}
