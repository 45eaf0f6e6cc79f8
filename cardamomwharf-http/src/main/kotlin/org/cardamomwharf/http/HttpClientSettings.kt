/*
 * The settings of an HTTP client.
 */
package org.cardamomwharf.http

/**
 * Represents the settings of an HTTP client.
 *
 * @param name the name of its threads.
 * @param idleTimeoutMs time after which an unused connection is closed.
 * @param isConnectionReused false when every call opens a new connection, as calls that must not be repeated need.
 */
public data class HttpClientSettings(
    public val name: String,
    public val connectTimeoutMs: Long = 1_000,
    public val idleTimeoutMs: Long = 15_000,
    public val isConnectionReused: Boolean = true,
    public val maxConnections: Int = 400,
    public val maxThreads: Int = 32,
)
