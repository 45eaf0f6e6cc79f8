/*
 * Times and bounds of the connections between instances.
 */
package org.cardamomwharf.peer

/**
 * Represents the limits of connections to peers.
 *
 * @param pingAfterMs silence after which proof is asked for.
 * @param silentMs silence after which a connection counts as dead and is closed; new ones may still work.
 * @param provenMs age of the last message up to which a connection counts as alive.
 */
public data class PeerSettings(
    public val connectMs: Long = 1_000,
    public val pingAfterMs: Long = 600,
    public val silentMs: Long = 2_000,
    public val provenMs: Long = 1_500,
    public val watchMs: Long = 200,
    public val idleMs: Long = 30_000,
    public val largestQueue: Int = 512,
)
