/*
 * Short runs with real processes: one seed that failed before, with its cause, and one other seed.
 */
package org.cardamomwharf.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.nio.file.Path

private const val NETWORK = 60
private const val DURATION_MS = 30_000L

class SoakTest : FunSpec({
    fun run(seed: Long) {
        val outcome = runSeed(seed, DURATION_MS, NETWORK, Path.of("target", "soak", "seed-$seed"))
        outcome.violations.shouldBeEmpty()
        outcome.calls.count { it.status == 200 } shouldBeGreaterThan 0
    }

    test("`seed 3 passes - a stop interrupted a request that arrived as the process exited`") { run(3) }

    test("`seed 11 violates no guarantee`") { run(11) }
})
