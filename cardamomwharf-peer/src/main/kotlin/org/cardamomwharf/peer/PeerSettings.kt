/*
 * Timeouts and limits of the connections between instances.
 */
package org.cardamomwharf.peer

/**
 * Represents the timeouts and limits of connections to peers.
 *
 * @param pingAfterMs time without a message after which a ping is sent.
 * @param silenceTimeoutMs time without a message after which a connection is closed; a new one may still work.
 * @param livenessMs age of the last message up to which a connection is considered alive.
 */
public data class PeerSettings(
    public val connectTimeoutMs: Long = 1_000,
    public val pingAfterMs: Long = 600,
    public val silenceTimeoutMs: Long = 2_000,
    public val livenessMs: Long = 1_500,
    public val monitorIntervalMs: Long = 200,
    public val idleTimeoutMs: Long = 30_000,
    public val maxQueuedMessages: Int = 512,
)
