/*
 * How long requests of a route take, learnt from answers: with a key that the backend server knows, and without. Where
 * a key wasn't sent before, other instances may have sent it; how often that is so is learnt too.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Route

/** Share of the cold time that a warm request takes before any answer was seen; warm work is several times faster. */
private const val FIRST_WARM_SHARE = 0.35

/** Cold time before any answer was seen, as a multiple of the target latency. */
private const val FIRST_COLD_FACTOR = 1.2

/** Chance that a key is warm where this instance sent it before, before any answer; servers forget keys. */
private const val KNOWN_WARM = 0.9

/** Chance that the first choice for a key is warm without this instance having sent it, before any answer. */
private const val FIRST_CHOICE_WARM = 0.5

/** The same chance for any other server. */
private const val OTHER_CHOICE_WARM = 0.1

/** Represents the learnt times of one route. */
public class WorkEstimates(route: Route, private val terms: SteeringParameters) {
    private val isSticky = route.isSticky

    /** Time of a request whose key the server doesn't know. */
    public var coldMs: Double = route.targetLatencyMs * FIRST_COLD_FACTOR
        private set

    /** Time of a request whose key the server knows. */
    public var warmMs: Double = coldMs * (if (isSticky) FIRST_WARM_SHARE else 1.0)
        private set

    /** Time that a known key saves. */
    public val savedMs: Double get() = coldMs - warmMs
    private var knownWarm = KNOWN_WARM
    private var firstChoiceWarm = FIRST_CHOICE_WARM
    private var otherChoiceWarm = OTHER_CHOICE_WARM

    /** Returns the expected time of a request with the given [warmth]. */
    public fun expectMs(warmth: Warmth): Double = when {
        !isSticky -> coldMs
        warmth == Warmth.KNOWN -> coldMs - knownWarm * (coldMs - warmMs)
        warmth == Warmth.FIRST_CHOICE -> coldMs - firstChoiceWarm * (coldMs - warmMs)
        else -> coldMs - otherChoiceWarm * (coldMs - warmMs)
    }

    /** Returns true when a request that took [workMs] found its key known. */
    public fun isWarm(workMs: Double): Boolean = isSticky && workMs < (coldMs + warmMs) / 2

    /** Learns from a request that took [workMs] at a server without a queue. */
    public fun learn(warmth: Warmth, workMs: Double) {
        val isWarm = isWarm(workMs)
        if (isWarm) warmMs += terms.smoothing * (workMs - warmMs) else coldMs += terms.smoothing * (workMs - coldMs)
        val seen = if (isWarm) 1.0 else 0.0
        when (warmth) {
            Warmth.KNOWN -> knownWarm += terms.smoothing * (seen - knownWarm)
            Warmth.FIRST_CHOICE -> firstChoiceWarm += terms.smoothing * (seen - firstChoiceWarm)
            Warmth.OTHER -> otherChoiceWarm += terms.smoothing * (seen - otherChoiceWarm)
        }
    }
}

/** Represents what is believed of a key at a server. */
public enum class Warmth {
    /** This instance has sent the key there. */
    KNOWN,

    /** The server is the first choice of every instance of the region for the key. */
    FIRST_CHOICE,

    /** Nothing speaks for the server. */
    OTHER,
}
