/*
 * The times by which an instance has to confirm its configuration, so that a withdrawn key is used nowhere after the
 * bound that the operators set. An instance that is out of touch stops to use keys by itself.
 */
package org.cardamomwharf.steering.teams

/** Share of the bound for which a confirmation counts; the rest covers steady clocks of different rates. */
private const val USABLE_SHARE = 0.98

/**
 * Share of the bound that a call may wait for changes. A watcher's confirmation is then at most two waits old, and
 * that of the other instances of its zone two heartbeats older.
 */
private const val STORE_WAIT_SHARE = 0.2

/** Share of the bound after which other instances no longer rely on a watcher; more than two waits. */
private const val WATCHER_SHARE = 0.6

/** Share of the bound after which another instance is asked directly; more than heartbeats without losses need. */
private const val ASK_PEERS_SHARE = 0.7

/** Share of the bound after which an instance asks the store itself; several calls to other instances fit before. */
private const val ASK_STORE_SHARE = 0.8

/**
 * Represents the ages that a confirmation may reach.
 *
 * @param usableMs age up to which keys may be used.
 * @param storeWaitMs maximum time that a call to the store may wait for changes.
 * @param watcherMs age from which on other instances don't rely on a watcher.
 * @param askPeersMs age from which on other instances are asked.
 * @param askStoreMs age from which on the store is asked although another instance watches it.
 */
public data class ConfirmationTimes(
    public val usableMs: Long,
    public val storeWaitMs: Long,
    public val watcherMs: Long,
    public val askPeersMs: Long,
    public val askStoreMs: Long,
)

/** Returns the times for keys that must not be used [maxKeyAgeMs] after they were withdrawn. */
public fun createConfirmationTimes(maxKeyAgeMs: Long): ConfirmationTimes = ConfirmationTimes(
    usableMs = (maxKeyAgeMs * USABLE_SHARE).toLong(),
    storeWaitMs = (maxKeyAgeMs * STORE_WAIT_SHARE).toLong(),
    watcherMs = (maxKeyAgeMs * WATCHER_SHARE).toLong(),
    askPeersMs = (maxKeyAgeMs * ASK_PEERS_SHARE).toLong(),
    askStoreMs = (maxKeyAgeMs * ASK_STORE_SHARE).toLong(),
)
