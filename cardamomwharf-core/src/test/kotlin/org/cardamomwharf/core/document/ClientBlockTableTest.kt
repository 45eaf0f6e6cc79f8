/*
 * Tests that a client address is found in the block that contains it and in no other.
 */
package org.cardamomwharf.core.document

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.ZoneName
import kotlin.random.Random

private const val ADDRESS_BITS = 32
private const val OCTET_BITS = 8
private const val OCTET_MASK = 0xFFL

/** Returns the address [number] in dotted decimal notation. */
private fun formatAddress(number: Long): String =
    (ADDRESS_BITS / OCTET_BITS - 1 downTo 0)
        .joinToString(".") { ((number shr (it * OCTET_BITS)) and OCTET_MASK).toString() }

/** Returns the block with a prefix of [bits] bits; the blocks of different prefix lengths do not overlap. */
private fun formatBlock(bits: Int): String = "${formatAddress(1L shl (ADDRESS_BITS - bits))}/$bits"

class ClientBlockTableTest : FunSpec({
    val table = ClientBlockTable.build(
        sequenceOf(
            ClientBlock("10.2.0.0/16", ZoneName("b")),
            ClientBlock("10.1.0.0/24", ZoneName("a")),
            ClientBlock("255.255.255.255/32", ZoneName("c")),
        ),
    )

    test("`a block contains its first and last address and no address beyond them`") {
        table.findZone("10.1.0.0") shouldBe ZoneName("a")
        table.findZone("10.1.0.255") shouldBe ZoneName("a")
        table.findZone("10.1.1.0") shouldBe null
        table.findZone("10.0.255.255") shouldBe null
        table.findZone("10.2.255.255") shouldBe ZoneName("b")
        table.findZone("255.255.255.255") shouldBe ZoneName("c")
    }

    test("`blocks of every size are found whole in any input order`") {
        val zones = (1..32).map { ClientBlock(formatBlock(it), ZoneName("zone-$it")) }
        val blocksOfEverySize = ClientBlockTable.build(zones.shuffled(Random(7)).asSequence())
        blocksOfEverySize.size shouldBe zones.size
        for (bits in 1..32) {
            val range = requireNotNull(parseCidr(formatBlock(bits)))
            blocksOfEverySize.findZone(formatAddress(range.first)) shouldBe ZoneName("zone-$bits")
            blocksOfEverySize.findZone(formatAddress(range.last)) shouldBe ZoneName("zone-$bits")
        }
        blocksOfEverySize.findZone("0.0.0.0") shouldBe null
    }

    test("`a malformed address is in no block`") {
        listOf(
            "",
            "10.1.0",
            "10.1.0.256",
            "10.1.0.0.0",
            "a.b.c.d",
            "10.1..0"
        ).forEach { table.findZone(it) shouldBe null }
    }

    test("`a CIDR block with a misaligned address or an invalid prefix is rejected`") {
        parseCidr("10.0.0.1/24") shouldBe null
        parseCidr("10.0.0.0/33") shouldBe null
        parseCidr("10.0.0.0") shouldBe null
        parseCidr("0.0.0.0/0") shouldBe AddressRange(0, 4_294_967_295)
    }
})
