/*
 * Sends raw bytes, such as malformed HTTP requests, and reads the response.
 */
package org.cardamomwharf.dist.support

import java.net.Socket

private const val READ_TIMEOUT_MS = 5_000

/** Sends [text] to [host] and returns the status line, outcome and reason header of the response. */
fun sendRawRequest(host: String, port: Int, text: String): List<String> = Socket(host, port).use { socket ->
    socket.soTimeout = READ_TIMEOUT_MS
    socket.getOutputStream().write(text.toByteArray())
    socket.getOutputStream().flush()
    socket.shutdownOutput()
    val response = socket.getInputStream().readAllBytes().decodeToString()
    response.lineSequence()
        .map { it.trim() }
        .filter { it.startsWith("HTTP/") || it.startsWith("Wharf-Outcome") || it.startsWith("Wharf-Reason") }
        .toList()
}
