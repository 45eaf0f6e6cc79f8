/*
 * The in-memory rows and objects of the platform stand-in.
 */
package org.cardamomwharf.standin

import org.cardamomwharf.core.Clock
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private const val MS_PER_SECOND = 1_000L

internal class StandinStore(private val clock: Clock) {
    private val rows = ConcurrentHashMap<String, StoredRow>()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val versions = AtomicLong()

    fun readRow(request: Request): Response =
        rows[request.uri.path]?.let { rowResponse(Status.OK, it) } ?: Response(Status.NOT_FOUND)

    fun writeRow(request: Request): Response = synchronized(rows) {
        val current = rows[request.uri.path]
        if (isAllowed(request, current)) {
            replaceRow(request)
        } else {
            current?.let { rowResponse(Status.PRECONDITION_FAILED, it) } ?: Response(Status.PRECONDITION_FAILED)
        }
    }

    /** Deletes the rows of a table that have not been written for the requested time, up to the requested limit. */
    fun expireRows(request: Request): Response = synchronized(rows) {
        val seconds = request.query("unwrittenForSeconds")?.toLongOrNull()
        val limit = request.query("limit")?.toIntOrNull()
        if (seconds == null || limit == null) return Response(Status.BAD_REQUEST)
        val writtenBeforeMs = clock.nowMs() - seconds * MS_PER_SECOND
        val expired = rows.entries
            .filter { it.key.startsWith("${request.uri.path}/") && it.value.writtenAtMs <= writtenBeforeMs }
            .take(limit)
        expired.forEach { rows.remove(it.key) }
        Response(Status.OK).body(expired.size.toString())
    }

    private fun isAllowed(request: Request, current: StoredRow?): Boolean {
        val expectedVersion = request.header("If-Match")
        return if (expectedVersion == null) current == null else current?.version == expectedVersion
    }

    private fun replaceRow(request: Request): Response {
        val row = StoredRow(request.bodyString(), "v${versions.incrementAndGet()}", clock.nowMs())
        rows[request.uri.path] = row
        return Response(Status.OK).header("ETag", row.version)
    }

    private fun rowResponse(status: Status, row: StoredRow): Response =
        Response(status).header("ETag", row.version).body(row.value)

    fun readObject(request: Request): Response =
        objects[request.uri.path]?.let { Response(Status.OK).body(Body(ByteBuffer.wrap(it))) }
            ?: Response(Status.NOT_FOUND)

    fun writeObject(request: Request): Response {
        val payload = request.body.payload
        objects[request.uri.path] = ByteArray(payload.remaining()).also { payload.duplicate().get(it) }
        return Response(Status.OK)
    }

    private data class StoredRow(val value: String, val version: String, val writtenAtMs: Long)
}
