/*
 * Times and bounds of the connections between instances.
 */
package org.cardamomwharf.peer

/**
 * Represents the limits of connections to peers.
 *
 * @param pingAfterMs silence after which proof is asked for.
 * @param silenceTimeoutMs silence after which a connection counts as dead and is closed; new ones may still work.
 * @param livenessMs age of the last message up to which a connection counts as alive.
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
