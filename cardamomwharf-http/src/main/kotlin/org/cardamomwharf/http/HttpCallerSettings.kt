/*
 * Limits of our HTTP clients in one place.
 */
package org.cardamomwharf.http

/**
 * Represents the limits of a client.
 *
 * @param idleMs time after which an unused connection is closed.
 * @param isReusing false when every call gets a new connection; a call that must not be repeated goes over one.
 */
public data class HttpCallerSettings(
    public val name: String,
    public val connectMs: Long = 1_000,
    public val idleMs: Long = 15_000,
    public val isReusing: Boolean = true,
    public val largestConnections: Int = 400,
    public val largestThreads: Int = 32,
)
