/*
 * Limits of the HTTP server in one place. What exceeds them is refused before a handler sees it.
 */
package org.cardamomwharf.http

import org.cardamomwharf.core.SocketAddress

/**
 * Represents where a server listens and what it takes.
 *
 * @param largestHeadBytes request line and header fields together.
 */
public data class HttpServerSettings(
    public val address: SocketAddress,
    public val largestHeadBytes: Int = 8_192,
    public val largestBodyBytes: Int = 1_048_576,
    public val idleMs: Long = 30_000,
    public val largestThreads: Int = 200,
    public val acceptQueue: Int = 1_024,
)
