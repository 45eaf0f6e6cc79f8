/*
 * Limits of our HTTP clients in one place.
 */
package org.cardamomwharf.http

/**
 * Represents the limits of a client.
 *
 * @param idleTimeoutMs time after which an unused connection is closed.
 * @param isConnectionReused false when every call opens a new connection.
 */
public data class HttpClientSettings(
    public val name: String,
    public val connectTimeoutMs: Long = 1_000,
    public val idleTimeoutMs: Long = 15_000,
    public val isConnectionReused: Boolean = true,
    public val maxConnections: Int = 400,
    public val maxThreads: Int = 32,
)
