/*
 * Sends bytes that no HTTP client would send, and reads what comes back.
 */
package org.cardamomwharf.dist.support

import java.net.Socket

private const val READ_LIMIT_MS = 5_000

/** Returns the status line and the header fields of ours that the server at [host] answers to [text]. */
fun callRaw(host: String, port: Int, text: String): List<String> = Socket(host, port).use { socket ->
    socket.soTimeout = READ_LIMIT_MS
    socket.getOutputStream().write(text.toByteArray())
    socket.getOutputStream().flush()
    socket.shutdownOutput()
    val answer = socket.getInputStream().readAllBytes().decodeToString()
    answer.lineSequence()
        .map { it.trim() }
        .filter { it.startsWith("HTTP/") || it.startsWith("Wharf-Outcome") || it.startsWith("Wharf-Reason") }
        .toList()
}
