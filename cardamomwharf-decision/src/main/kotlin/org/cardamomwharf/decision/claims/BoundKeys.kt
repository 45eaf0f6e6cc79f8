/*
 * Binds keys to one incarnation while the table service is down. That incarnation alone runs the key, and keeps it in
 * memory until the binding expires; every other incarnation refuses it, so no coordination is needed to run a key at
 * most once.
 */
package org.cardamomwharf.decision.claims

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.Reason

/** Represents the incarnation that a key is bound to, and the time of issue on the clock of that incarnation. */
@Serializable
public data class Binding(public val incarnation: Incarnation, public val issuedAtMs: Long) {
    override fun toString(): String = "${incarnation.value}.$issuedAtMs"

    public companion object {
        /** Returns the binding parsed from `incarnation.issuedAtMs`, or null when [text] has another format. */
        public fun parse(text: String): Binding? {
            val incarnation = text.substringBefore('.').toLongOrNull()
            val issuedAtMs = text.substringAfter('.', "").toLongOrNull()
            if (incarnation == null || issuedAtMs == null) return null
            return Binding(Incarnation(incarnation), issuedAtMs)
        }
    }
}

/** Represents a key that this incarnation runs or ran; [response] is null while the outcome is unknown. */
public data class BoundKey(
    public val fingerprint: String,
    public val expiresAtMs: Long,
    public val response: RecordedResponse? = null,
)

/** Represents the keys bound to this incarnation. */
public data class BoundKeys(public val keys: PersistentMap<String, BoundKey> = persistentMapOf())

/** Maximum number of keys that one incarnation keeps; further keys are refused as not run. */
public const val MAX_BOUND_KEYS: Int = 20_000

/** Represents the decision about a request with a binding. */
public sealed interface BindingDecision {
    /** The request may run; [keys] contain its key. */
    public data class Run(public val keys: BoundKeys) : BindingDecision

    /** The request ends without being run again. */
    public data class End(public val reason: Reason, public val response: RecordedResponse? = null) : BindingDecision
}

/**
 * Returns whether a request with [key] may run at the incarnation [own]. A key whose binding has expired may have run
 * before.
 */
public fun BoundKeys.admit(
    key: String,
    fingerprint: String,
    binding: Binding,
    own: Incarnation,
    times: BindingTimes,
): BindingDecision {
    val known = keys[key]
    val expiresAtMs = binding.issuedAtMs + times.keyTtlMs
    return when {
        binding.incarnation != own -> BindingDecision.End(Reason.BINDING_ELSEWHERE)
        times.nowMs >= expiresAtMs || binding.issuedAtMs > times.nowMs -> BindingDecision.End(Reason.BINDING_EXPIRED)
        known != null -> BindingDecision.End(getRepeatReason(known, fingerprint), known.response)
        keys.size >= MAX_BOUND_KEYS -> BindingDecision.End(Reason.BUSY)
        else -> BindingDecision.Run(BoundKeys(keys.put(key, BoundKey(fingerprint, expiresAtMs))))
    }
}

/** Represents the time of a decision and the time to live of a key. */
public data class BindingTimes(public val nowMs: Long, public val keyTtlMs: Long)

private fun getRepeatReason(known: BoundKey, fingerprint: String): Reason = when {
    known.fingerprint != fingerprint -> Reason.KEY_REUSED
    known.response == null -> Reason.KEY_IN_PROGRESS
    else -> Reason.RECORDED_ANSWER
}

/** Returns these keys with [response] recorded for [key]. */
public fun BoundKeys.recordResponse(key: String, response: RecordedResponse): BoundKeys {
    val known = keys[key] ?: return this
    return BoundKeys(keys.put(key, known.copy(response = response)))
}

/** Returns these keys without [key]; may be called only for a key that did not run. */
public fun BoundKeys.remove(key: String): BoundKeys = BoundKeys(keys.remove(key))

/** Returns these keys without those whose binding has expired. */
public fun BoundKeys.removeExpired(nowMs: Long): BoundKeys =
    if (keys.values.none { it.expiresAtMs <= nowMs }) {
        this
    } else {
        BoundKeys(keys.filterValues { it.expiresAtMs > nowMs }.toPersistentMap())
    }
