/*
 * A relayed connection: the client socket and the socket to the target.
 */
package org.cardamomwharf.standin.network

import java.io.IOException
import java.net.Socket

private const val CHUNK_BYTES = 16_384

/** Delay of each chunk; longer than the processing time of a stand-in, shorter than the timeouts. */
private const val DELAY_MS = 150L

internal class RelayedConnection(
    private val clientSocket: Socket,
    private val targetSocket: Socket,
    private val onClose: (RelayedConnection) -> Unit,
) {
    @Volatile
    var isStalled: Boolean = false

    /** Forwards bytes from [source] to [sink] until one of them is closed, then closes the connection. */
    fun pump(source: Socket, sink: Socket, getFault: () -> RelayFault) {
        val chunk = ByteArray(CHUNK_BYTES)
        try {
            while (true) {
                val count = source.getInputStream().read(chunk)
                if (count < 0 || !forward(chunk, count, sink, getFault())) break
            }
        } catch (@Suppress("SwallowedException") e: IOException) {
            close()
        }
        close()
    }

    /** Forwards a chunk as [fault] allows; returns false when the connection must be closed. */
    private fun forward(chunk: ByteArray, count: Int, sink: Socket, fault: RelayFault): Boolean {
        if (isStalled || fault == RelayFault.RESPONSES_LOST) return true
        if (fault == RelayFault.DELAYED) Thread.sleep(DELAY_MS)
        val output = sink.getOutputStream()
        val forwardedBytes = if (fault == RelayFault.TRUNCATING) count / 2 else count
        output.write(chunk, 0, forwardedBytes)
        if (fault == RelayFault.DUPLICATING) output.write(chunk, 0, count)
        output.flush()
        return fault != RelayFault.TRUNCATING
    }

    fun close() {
        clientSocket.close()
        targetSocket.close()
        onClose(this)
    }
}
