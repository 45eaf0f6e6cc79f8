/*
 * Connection of a caller for tests that sends requests without waiting for the responses.
 */
package org.cardamomwharf.forward.support

import java.net.Socket

/** Represents the parts of a response that tests compare. */
internal data class CallerResponse(val id: String, val status: Int, val isLast: Boolean = false)

/** Sends and reads on [socket]. */
internal class CallerConnection(private val socket: Socket) : AutoCloseable {
    private val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)

    fun send(vararg texts: String) {
        socket.getOutputStream().write(texts.joinToString("").toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Reads one response, or returns null at the end of the stream. */
    fun read(): CallerResponse? {
        val status = reader.readLine()?.split(' ')?.get(1)?.toInt() ?: return null
        val fields = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        repeat(fields.getValue("content-length").toInt()) { reader.read() }
        return CallerResponse(fields.getValue("x-request-id"), status, fields["connection"] == "close")
    }

    override fun close() = socket.close()
}

/** Returns a request without a body. */
internal fun getText(id: String, path: String = "/r/x", fields: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$fields\r\n"

/** Returns a request with a body. */
internal fun postText(id: String, path: String = "/r/x"): String =
    "POST $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nContent-Length: 4\r\n\r\nbody"
