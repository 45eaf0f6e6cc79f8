/*
 * The latest moment at which the active configuration is known to have been the newest one. The moment is that of a
 * question, not of its answer: an answer may have waited on its way, and this process may have been paused.
 *
 * Another instance states how old its own proof is in an answer. Since it states that after it received the question,
 * its proof is at least as recent as the question less the stated age, whatever the clocks of the two show.
 */
package org.cardamomwharf.steering.teams

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.DocumentVersion

/** States that [configuration] was the newest version [ageMs] before the statement was made. */
@Serializable
public data class Confirmation(public val configuration: DocumentVersion, public val ageMs: Long)

/**
 * Represents the proof of the active configuration.
 *
 * @param times times that a bound for withdrawn keys requires, or null without a bound; no proof is needed then.
 */
public class ConfigurationProof internal constructor(public val times: ConfirmationTimes?) {
    private var provedAtMs: Long? = null

    /** Records that the active configuration was the newest at [askedAtMs]. An older proof changes nothing. */
    public fun record(askedAtMs: Long) {
        provedAtMs = maxOf(provedAtMs ?: Long.MIN_VALUE, askedAtMs)
    }

    /** Returns the age of the proof, or null when there is none. */
    public fun ageMs(nowMs: Long): Long? = provedAtMs?.let { nowMs - it }

    /** Returns true when keys may be used. */
    public fun isValid(nowMs: Long): Boolean = times == null || !isOlderThan(times.usableMs, nowMs)

    /** Returns true when the proof is older than [ageMs] or there is none. */
    public fun isOlderThan(ageMs: Long, nowMs: Long): Boolean = ageMs(nowMs).let { it == null || it > ageMs }
}
