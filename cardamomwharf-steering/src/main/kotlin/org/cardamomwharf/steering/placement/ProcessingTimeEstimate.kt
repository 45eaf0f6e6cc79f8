/*
 * Estimates of the processing time of a route's requests, learned from responses, for warm and cold keys. Other
 * instances may have sent a key to a server as well, so the probability that a key is warm is estimated too.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.Route

/** Initial warm time as a share of the cold time, before any response; warm requests are several times faster. */
private const val INITIAL_WARM_SHARE = 0.35

/** Initial cold time as a multiple of the target latency, before any response. */
private const val INITIAL_COLD_FACTOR = 1.2

/** Initial probability that a key is warm on a server to which this instance sent it; servers evict keys. */
private const val INITIAL_KNOWN_HIT_RATE = 0.9

/** Initial probability that a key is warm on its first-choice server when this instance did not send it there. */
private const val INITIAL_FIRST_CHOICE_HIT_RATE = 0.5

/** Initial probability that a key is warm on any other server. */
private const val INITIAL_OTHER_HIT_RATE = 0.1

/** Estimates the processing time of requests of one route. */
public class ProcessingTimeEstimate(route: Route, private val parameters: SteeringParameters) {
    private val isSticky = route.isSticky

    /** Processing time of a request whose key is cold. */
    public var coldMs: Double = route.targetLatencyMs * INITIAL_COLD_FACTOR
        private set

    /** Processing time of a request whose key is warm. */
    public var warmMs: Double = coldMs * (if (isSticky) INITIAL_WARM_SHARE else 1.0)
        private set

    /** Time saved by a warm key. */
    public val savedMs: Double get() = coldMs - warmMs
    private var knownHitRate = INITIAL_KNOWN_HIT_RATE
    private var firstChoiceHitRate = INITIAL_FIRST_CHOICE_HIT_RATE
    private var otherHitRate = INITIAL_OTHER_HIT_RATE

    /** Returns the expected processing time for the given [warmth]. */
    public fun expectedMs(warmth: Warmth): Double = when {
        !isSticky -> coldMs
        warmth == Warmth.KNOWN -> coldMs - knownHitRate * (coldMs - warmMs)
        warmth == Warmth.FIRST_CHOICE -> coldMs - firstChoiceHitRate * (coldMs - warmMs)
        else -> coldMs - otherHitRate * (coldMs - warmMs)
    }

    /** Returns true when [processingMs] indicates that the key was warm. */
    public fun isWarm(processingMs: Double): Boolean = isSticky && processingMs < (coldMs + warmMs) / 2

    /** Records the [processingMs] of a request on a server without a queue. */
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

/** Represents how likely a key is warm on a server. */
public enum class Warmth {
    /** This instance has sent the key to the server. */
    KNOWN,

    /** The server is the first choice for the key for all instances of the region. */
    FIRST_CHOICE,

    /** There is no indication that the key is warm. */
    OTHER,
}
