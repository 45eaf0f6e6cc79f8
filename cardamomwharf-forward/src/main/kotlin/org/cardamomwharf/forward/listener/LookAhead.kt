/*
 * Recognizes requests in the bytes behind a pending request and queues them in their order. The first request that may
 * not be handled before its turn ends the look-ahead; another one starts behind the next request that Jetty dispatches.
 */
package org.cardamomwharf.forward.listener

import java.nio.ByteBuffer

/**
 * Maximum number of requests per connection that are handled before their turn; their responses may be held in memory.
 */
internal const val MAX_REQUESTS_AHEAD: Int = 8

/**
 * Holds the requests that were recognized; not synchronized.
 *
 * @param unscannedBytes number of bytes behind the pending request.
 */
internal class LookAhead(private val scanner: RequestScanner, private var unscannedBytes: Int) {
    private val exchanges = ArrayDeque<AheadExchange>()
    private var isEnded = false

    /** True if requests are handled before their turn. */
    val hasRequests: Boolean get() = exchanges.isNotEmpty()

    /** Records that [count] bytes arrived. */
    fun recordInput(count: Int) {
        unscannedBytes += count
    }

    /** Removes and returns the next request, or returns null if none was recognized. */
    fun next(): AheadExchange? = exchanges.removeFirstOrNull()

    /** Removes and returns all requests. */
    fun removeAll(): List<AheadExchange> = exchanges.toList().also {
        exchanges.clear()
        isEnded = true
    }

    /**
     * Returns the requests that were recognized in the bytes behind [pending] and aren't started. Of these bytes, Jetty
     * holds [rest], and [early] follow.
     */
    fun scan(pending: PendingExchange, rest: ByteBuffer?, early: ByteBuffer): List<AheadExchange> {
        val known = exchanges.size
        val restBytes = unscannedBytes - minOf(unscannedBytes, early.remaining())
        if (rest != null && restBytes > 0) scan(pending, lastBytes(rest, restBytes))
        scan(pending, lastBytes(early, minOf(unscannedBytes, early.remaining())))
        return exchanges.drop(known)
    }

    private fun scan(pending: PendingExchange, input: ByteBuffer) {
        while (input.hasRemaining() && !isEnded && exchanges.size < MAX_REQUESTS_AHEAD) {
            val before = input.remaining()
            val head = scanner.scan(input)
            unscannedBytes -= before - input.remaining()
            if (head != null) add(pending, head)
            isEnded = isEnded || scanner.isMalformed || input.remaining() == before
        }
    }

    private fun add(pending: PendingExchange, head: RequestHead) {
        val request = AheadRequest(pending.response.request, head, exchanges.size + 1)
        val isAllowed = head.isSafeAndBodiless && pending.handler.mayHandleAhead(request)
        if (isAllowed) exchanges.addLast(AheadExchange(pending, request))
        isEnded = !isAllowed || head.isLast
    }
}

/** Returns a look-ahead behind [pending] if requests may overtake it. */
internal fun createLookAhead(pending: PendingExchange, unscannedBytes: Int): LookAhead? {
    val request = pending.response.request
    val metaData = request.connectionMetaData
    val head = RequestHead(request.method, request.httpURI.pathQuery, metaData.httpVersion, request.headers)
    if (!head.isSafeAndBodiless || head.isLast || !pending.handler.mayBeOvertaken(request)) return null
    return LookAhead(RequestScanner(metaData.httpConfiguration.requestHeaderSize), unscannedBytes)
}

/** Returns a view of the last [count] bytes of [buffer]. */
private fun lastBytes(buffer: ByteBuffer, count: Int): ByteBuffer =
    buffer.duplicate().apply { position(limit() - count) }
