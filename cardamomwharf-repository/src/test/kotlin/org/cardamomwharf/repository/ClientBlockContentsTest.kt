/*
 * Tests the stored form of client blocks, whose hash reveals damaged contents.
 */
package org.cardamomwharf.repository

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.ClientBlock
import org.cardamomwharf.core.document.Delays
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Objective

private val blocks = (0..255).map { ClientBlock("10.0.$it.0/24", ZoneName("north-a")) }
private val document = EnvironmentDocument(
    deployment = "sample",
    objective = Objective.LATENCY,
    partners = emptyList(),
    regions = emptyList(),
    delays = Delays(0.0, 0.0, 0.0),
    links = emptyList(),
    services = emptyList(),
    clientBlocks = blocks,
)

class ClientBlockContentsTest : FunSpec({
    test("`decoding stored blocks returns the original blocks, and their hash is unchanged`") {
        val stored = document.encodeBlocks()
        decodeBlocks(stored.contents).toList() shouldBe blocks
        hashBlocks(stored.contents) shouldBe stored.hash
    }

    test("`damaged and truncated contents do not have the hash of the original`") {
        val stored = document.encodeBlocks()
        val half = stored.contents.copyOf(stored.contents.size / 2)
        hashBlocks(half) shouldBe null
        val damaged = stored.contents.copyOf().also { it[it.size / 2] = (it[it.size / 2] + 1).toByte() }
        hashBlocks(damaged) shouldNotBe stored.hash
    }
})
