/*
 * Short runs with real processes: each seed that ever failed, with its cause, and one that plays every time.
 */
package org.cardamomwharf.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.nio.file.Path

private const val NETWORK = 60
private const val DURATION_MS = 30_000L

class SoakTest : FunSpec({
    fun play(seed: Long) {
        val outcome = playSeed(seed, DURATION_MS, NETWORK, Path.of("target", "soak", "seed-$seed"))
        outcome.violations.shouldBeEmpty()
        outcome.calls.count { it.status == 200 } shouldBeGreaterThan 0
    }

    test("`seed 3, which failed - a stop cut off a request that arrived as the process ended`") { play(3) }

    test("`seed 11 keeps every promise`") { play(11) }
})
