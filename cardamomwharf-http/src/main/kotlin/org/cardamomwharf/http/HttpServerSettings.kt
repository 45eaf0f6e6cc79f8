/*
 * Limits of the HTTP server in one place. What exceeds them is refused before a handler sees it.
 */
package org.cardamomwharf.http

import org.cardamomwharf.core.SocketAddress

/**
 * Represents where a server listens and what it takes.
 *
 * @param maxHeadBytes request line and header fields together.
 */
public data class HttpServerSettings(
    public val address: SocketAddress,
    public val maxHeadBytes: Int = 8_192,
    public val maxBodyBytes: Int = 1_048_576,
    public val idleTimeoutMs: Long = 30_000,
    public val maxThreads: Int = 200,
    public val acceptQueueSize: Int = 1_024,
)
