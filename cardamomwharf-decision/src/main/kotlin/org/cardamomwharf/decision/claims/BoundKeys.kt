/*
 * While the table service is down, a key may be bound to one incarnation, which alone runs it and remembers it in
 * memory until the binding expires. Every other incarnation refuses it, so at most one run needs no agreement.
 */
package org.cardamomwharf.decision.claims

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.Reason

/** Represents the incarnation that a key is bound to and the time of issue on its clock. */
@Serializable
public data class Binding(public val incarnation: Incarnation, public val issuedAtMs: Long) {
    override fun toString(): String = "${incarnation.value}.$issuedAtMs"

    public companion object {
        /** Returns the binding written as `incarnation.issuedAtMs`, or null when [text] isn't one. */
        public fun parse(text: String): Binding? {
            val incarnation = text.substringBefore('.').toLongOrNull()
            val issuedAtMs = text.substringAfter('.', "").toLongOrNull()
            if (incarnation == null || issuedAtMs == null) return null
            return Binding(Incarnation(incarnation), issuedAtMs)
        }
    }
}

/** Represents a key that this incarnation runs or ran; [response] is null while the outcome isn't known. */
public data class BoundKey(
    public val fingerprint: String,
    public val expiresAtMs: Long,
    public val response: RecordedResponse? = null,
)

/** Represents the keys bound to this incarnation. */
public data class BoundKeys(public val keys: PersistentMap<String, BoundKey> = persistentMapOf())

/** The keys that one incarnation remembers at most; more are refused as not run. */
public const val MAX_BOUND_KEYS: Int = 20_000

/** Represents what a bound key may do. */
public sealed interface BindingDecision {
    /** The key may run; [keys] remember it. */
    public data class Run(public val keys: BoundKeys) : BindingDecision

    /** The request ends without another run. */
    public data class End(public val reason: Reason, public val response: RecordedResponse? = null) : BindingDecision
}

/** Returns what [key] may do at the incarnation [own]; a key whose binding has run out may have run before. */
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
        known != null -> BindingDecision.End(reasonOf(known, fingerprint), known.response)
        keys.size >= MAX_BOUND_KEYS -> BindingDecision.End(Reason.BUSY)
        else -> BindingDecision.Run(BoundKeys(keys.put(key, BoundKey(fingerprint, expiresAtMs))))
    }
}

/** Represents the time of a decision and the life of a key. */
public data class BindingTimes(public val nowMs: Long, public val keyTtlMs: Long)

private fun reasonOf(known: BoundKey, fingerprint: String): Reason = when {
    known.fingerprint != fingerprint -> Reason.KEY_REUSED
    known.response == null -> Reason.KEY_IN_PROGRESS
    else -> Reason.RECORDED_ANSWER
}

/** Returns these keys with the response of [key]. */
public fun BoundKeys.recordResponse(key: String, response: RecordedResponse): BoundKeys {
    val known = keys[key] ?: return this
    return BoundKeys(keys.put(key, known.copy(response = response)))
}

/** Returns these keys without [key]; only for a key that did not run. */
public fun BoundKeys.remove(key: String): BoundKeys = BoundKeys(keys.remove(key))

/** Returns these keys without those whose binding has run out. */
public fun BoundKeys.removeExpired(nowMs: Long): BoundKeys =
    if (keys.values.none { it.expiresAtMs <= nowMs }) {
        this
    } else {
        BoundKeys(keys.filterValues { it.expiresAtMs > nowMs }.toPersistentMap())
    }
