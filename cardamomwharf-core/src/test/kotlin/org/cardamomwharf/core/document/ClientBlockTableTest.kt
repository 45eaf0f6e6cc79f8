/*
 * Client addresses are found in the block that holds them, and in no other.
 */
package org.cardamomwharf.core.document

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.ZoneName
import kotlin.random.Random

private const val ADDRESS_BITS = 32
private const val OCTET_BITS = 8
private const val OCTET_MASK = 0xFFL

/** Returns the address [number] as text. */
private fun addressOf(number: Long): String =
    (ADDRESS_BITS / OCTET_BITS - 1 downTo 0)
        .joinToString(".") { ((number shr (it * OCTET_BITS)) and OCTET_MASK).toString() }

/** Returns a block of each size; none overlaps another: the upper half, the upper half of the rest, and so on. */
private fun cidrOf(bits: Int): String = "${addressOf(1L shl (ADDRESS_BITS - bits))}/$bits"

class ClientBlockTableTest : FunSpec({
    val table = ClientBlockTable.build(
        sequenceOf(
            ClientBlock("10.2.0.0/16", ZoneName("b")),
            ClientBlock("10.1.0.0/24", ZoneName("a")),
            ClientBlock("255.255.255.255/32", ZoneName("c")),
        ),
    )

    test("`the first and the last address of a block belong to it, their neighbours don't`") {
        table.findZone("10.1.0.0") shouldBe ZoneName("a")
        table.findZone("10.1.0.255") shouldBe ZoneName("a")
        table.findZone("10.1.1.0") shouldBe null
        table.findZone("10.0.255.255") shouldBe null
        table.findZone("10.2.255.255") shouldBe ZoneName("b")
        table.findZone("255.255.255.255") shouldBe ZoneName("c")
    }

    test("`blocks of every size are kept whole, in whatever order they come`") {
        val zones = (1..32).map { ClientBlock(cidrOf(it), ZoneName("zone-$it")) }
        val sizes = ClientBlockTable.build(zones.shuffled(Random(7)).asSequence())
        sizes.size shouldBe zones.size
        for (bits in 1..32) {
            val range = requireNotNull(parseCidr(cidrOf(bits)))
            sizes.findZone(addressOf(range.first)) shouldBe ZoneName("zone-$bits")
            sizes.findZone(addressOf(range.last)) shouldBe ZoneName("zone-$bits")
        }
        sizes.findZone("0.0.0.0") shouldBe null
    }

    test("`what isn't an address is in no block`") {
        listOf(
            "",
            "10.1.0",
            "10.1.0.256",
            "10.1.0.0.0",
            "a.b.c.d",
            "10.1..0"
        ).forEach { table.findZone(it) shouldBe null }
    }

    test("`blocks must be aligned`") {
        parseCidr("10.0.0.1/24") shouldBe null
        parseCidr("10.0.0.0/33") shouldBe null
        parseCidr("10.0.0.0") shouldBe null
        parseCidr("0.0.0.0/0") shouldBe AddressRange(0, 4_294_967_295)
    }
})
