/*
 * The settings of an HTTP server. Requests that exceed a limit are refused before they reach a handler.
 */
package org.cardamomwharf.http

import org.cardamomwharf.core.SocketAddress

/**
 * Represents the address and the limits of an HTTP server.
 *
 * @param maxHeadBytes maximum size of the request line and the header fields together.
 */
public data class HttpServerSettings(
    public val address: SocketAddress,
    public val maxHeadBytes: Int = 8_192,
    public val maxBodyBytes: Int = 1_048_576,
    public val idleTimeoutMs: Long = 30_000,
    public val maxThreads: Int = 200,
    public val acceptQueueSize: Int = 1_024,
)
