/*
 * A connection of a caller that sends without looking whether the connection has been closed meanwhile.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI

private const val CONNECT_TIMEOUT_MS = 1_000
private const val LINE_END = "\r\n"

/** Sends one call at a time on [socket]. */
internal class KeptConnection(private val socket: Socket) : AutoCloseable {
    private val input = socket.getInputStream().buffered()

    /** Whether another call can be sent. */
    val isOpen: Boolean get() = !socket.isClosed

    init {
        socket.tcpNoDelay = true
    }

    /** Sends [call] and returns its result; closes the connection unless the response was complete and allows more. */
    fun call(call: HttpCall): HttpResult {
        val result = try {
            socket.soTimeout = call.timeoutMs.toInt()
            socket.getOutputStream().write(encode(call))
            HttpResult.Completed(readResponse())
        } catch (@Suppress("SwallowedException") e: SocketTimeoutException) {
            HttpResult.Lost(HttpFailure.TIMEOUT)
        } catch (@Suppress("SwallowedException") e: IOException) {
            HttpResult.Lost(HttpFailure.CLOSED)
        }
        val isKept = result is HttpResult.Completed && result.response.findHeader("Connection") != "close"
        if (!isKept) close()
        return result
    }

    private fun encode(call: HttpCall): ByteArray {
        val fields = call.headers + HttpField("Content-Length", "${call.body.size}")
        val lines = listOf("${call.method} ${URI(call.url).path} HTTP/1.1") + fields.map { "${it.name}: ${it.value}" }
        return lines.joinToString(LINE_END, postfix = LINE_END + LINE_END).toByteArray() + call.body
    }

    private fun readResponse(): HttpResponse {
        val status = readLine().split(' ')[1].toInt()
        val fields = generateSequence(::readLine).takeWhile { it.isNotEmpty() }
            .map { HttpField(it.substringBefore(':'), it.substringAfter(':').trim()) }.toList()
        val length = HttpResponse(status, fields, ByteArray(0)).findHeader("Content-Length")?.toInt()
        checkNotNull(length) { "a response without a length: $status $fields" }
        val body = input.readNBytes(length)
        if (body.size < length) throw EOFException("$length bytes announced, ${body.size} received")
        return HttpResponse(status, fields, body)
    }

    private fun readLine(): String {
        val line = ByteArrayOutputStream()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw EOFException("closed before the response")
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.write(byte)
        }
    }

    override fun close() = socket.close()
}

/** Opens a connection of a caller to [gateway], or returns null. */
internal fun connectCaller(gateway: GatewayProcess): KeptConnection? {
    val (host, port) = gateway.callerAddress.split(':')
    val socket = Socket()
    return try {
        socket.connect(InetSocketAddress(host, port.toInt()), CONNECT_TIMEOUT_MS)
        KeptConnection(socket)
    } catch (@Suppress("SwallowedException") e: IOException) {
        socket.close()
        null
    }
}
