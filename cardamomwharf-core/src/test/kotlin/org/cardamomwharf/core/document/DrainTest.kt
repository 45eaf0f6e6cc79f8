/*
 * Tests when drains are in force.
 */
package org.cardamomwharf.core.document

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.ZoneName

class DrainTest : FunSpec({
    test("`a drain is in force from its start until just before its end`") {
        val drain = Drain(ZoneName("north-a"), startsAtEpochSeconds = 100, endsAtEpochSeconds = 200)
        listOf(99L, 100L, 199L, 200L).map { drain.isActive(it) } shouldBe listOf(false, true, true, false)
    }

    test("`a drain without an end stays in force`") {
        Drain(ZoneName("north-a"), startsAtEpochSeconds = 100).isActive(Long.MAX_VALUE) shouldBe true
    }
})
