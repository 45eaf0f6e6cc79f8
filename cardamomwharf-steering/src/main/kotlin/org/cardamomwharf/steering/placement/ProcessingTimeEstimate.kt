/*
 * How long requests of a route take, learnt from answers: with a key that the backend server knows, and without. Where
 * a key wasn't sent before, other instances may have sent it; how often that is so is learnt too.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Route

/** Share of the cold time that a warm request takes before any answer was hit; warm work is several times faster. */
private const val INITIAL_WARM_SHARE = 0.35

/** Cold time before any answer was hit, as a multiple of the target latency. */
private const val INITIAL_COLD_FACTOR = 1.2

/** Chance that a key is warm where this instance sent it before, before any answer; servers forget keys. */
private const val INITIAL_KNOWN_HIT_RATE = 0.9

/** Chance that the first choice for a key is warm without this instance having sent it, before any answer. */
private const val INITIAL_FIRST_CHOICE_HIT_RATE = 0.5

/** The same chance for any other server. */
private const val INITIAL_OTHER_HIT_RATE = 0.1

/** Represents the learnt times of one route. */
public class ProcessingTimeEstimate(route: Route, private val parameters: SteeringParameters) {
    private val isSticky = route.isSticky

    /** Time of a request whose key the server doesn't know. */
    public var coldMs: Double = route.targetLatencyMs * INITIAL_COLD_FACTOR
        private set

    /** Time of a request whose key the server knows. */
    public var warmMs: Double = coldMs * (if (isSticky) INITIAL_WARM_SHARE else 1.0)
        private set

    /** Time that a known key saves. */
    public val savedMs: Double get() = coldMs - warmMs
    private var knownHitRate = INITIAL_KNOWN_HIT_RATE
    private var firstChoiceHitRate = INITIAL_FIRST_CHOICE_HIT_RATE
    private var otherHitRate = INITIAL_OTHER_HIT_RATE

    /** Returns the expected time of a request with the given [warmth]. */
    public fun expectedMs(warmth: Warmth): Double = when {
        !isSticky -> coldMs
        warmth == Warmth.KNOWN -> coldMs - knownHitRate * (coldMs - warmMs)
        warmth == Warmth.FIRST_CHOICE -> coldMs - firstChoiceHitRate * (coldMs - warmMs)
        else -> coldMs - otherHitRate * (coldMs - warmMs)
    }

    /** Returns true when a request that took [processingMs] found its key known. */
    public fun isWarm(processingMs: Double): Boolean = isSticky && processingMs < (coldMs + warmMs) / 2

    /** Learns from a request that took [processingMs] at a server without a queue. */
    public fun record(warmth: Warmth, processingMs: Double) {
        val isWarm = isWarm(processingMs)
        val weight = parameters.smoothingFactor
        if (isWarm) warmMs += weight * (processingMs - warmMs) else coldMs += weight * (processingMs - coldMs)
        val hit = if (isWarm) 1.0 else 0.0
        when (warmth) {
            Warmth.KNOWN -> knownHitRate += weight * (hit - knownHitRate)
            Warmth.FIRST_CHOICE -> firstChoiceHitRate += weight * (hit - firstChoiceHitRate)
            Warmth.OTHER -> otherHitRate += weight * (hit - otherHitRate)
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
