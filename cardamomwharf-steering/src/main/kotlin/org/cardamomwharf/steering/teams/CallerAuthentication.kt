/*
 * Decides which team a caller belongs to. A configuration with teams requires a key on every route that isn't public.
 * With a bound for withdrawn keys, keys are used only while the configuration is confirmed.
 */
package org.cardamomwharf.steering.teams

import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason

/** Retry-After delay while keys are unconfirmed; heartbeats bring a confirmation within this interval. */
private const val UNCONFIRMED_RETRY_MS = 500L

/** Represents the result of authenticating a caller. */
public sealed interface Caller {
    /** The request needs no key. */
    public data object Anonymous : Caller

    /** The caller holds a key of [team]. */
    public data class Member(public val team: Team) : Caller

    /** The caller sent no key, or one that no team holds. */
    public data object Unknown : Caller

    /** It can't be decided now whether the caller's key is valid. */
    public data class Unconfirmed(public val refusal: Placement.Refuse) : Caller
}

/** Authenticates callers against the configuration of [routes]. */
public class CallerAuthentication(private val routes: ActiveRoutes, parameters: TeamParameters) {
    /** The proof that the active configuration is the newest one. */
    public val proof: ConfigurationProof = ConfigurationProof(parameters.maxKeyAgeMs?.let(::createConfirmationTimes))
    private val refusal = Placement.Refuse(RefusalReason.UNCONFIRMED_KEYS, UNCONFIRMED_RETRY_MS)

    /** Returns who sends a request for [route] with [key], which is null when the request holds no single key. */
    public fun identify(route: Route, key: TeamKey?, nowMs: Long): Caller = when {
        !routes.teamKeys.hasTeams || route.isPublic -> Caller.Anonymous
        !proof.isValid(nowMs) -> Caller.Unconfirmed(refusal)
        else -> key?.let { routes.teamKeys.findTeam(it) }?.let { Caller.Member(it) } ?: Caller.Unknown
    }

    /** Returns the refusal of a request of [team] that would be sent on now, or null when it may be sent. */
    public fun refusalFor(team: Team?, nowMs: Long): Placement.Refuse? =
        refusal.takeIf { team != null && !proof.isValid(nowMs) }

    /** Records the [confirmation] in the answer of another instance to a question that was sent at [askedAtMs]. */
    public fun confirm(confirmation: Confirmation, askedAtMs: Long) {
        val isKnown = routes.desired.let { it != null && it.version >= confirmation.configuration }
        if (isKnown && confirmation.ageMs >= 0) proof.record(askedAtMs - confirmation.ageMs)
    }

    /** Returns what this instance can confirm to another one, or null without a bound for withdrawn keys. */
    public fun confirmation(nowMs: Long): Confirmation? {
        val ageMs = proof.ageMs(nowMs)?.takeIf { proof.times != null && proof.isValid(nowMs) }
        return routes.desired?.let { desired -> ageMs?.let { Confirmation(desired.version, it) } }
    }
}
