/*
 * Tests that heartbeat datagrams survive encoding and decoding, and that invalid datagrams are rejected.
 */
package org.cardamomwharf.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.crashes.BlockNotice
import org.cardamomwharf.steering.crashes.CrashMessage
import org.cardamomwharf.steering.crashes.CrashReport
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion
import org.cardamomwharf.steering.teams.Confirmation
import java.util.HexFormat

private const val MAX_DATAGRAM_BYTES = 65_507

/** A heartbeat of the release before, which states no epochs; its watcher isn't failing. */
private val earlierRelease: ByteArray = frame(
    HexFormat.of().parseHex(
        "bf6673656e646572bf646e616d656161647a6f6e65637a2d616663616c6c65726b31302e302e302e313a383064706565726b" +
            "31302e302e302e323a39306b696e6361726e6174696f6e0565636f756e74066969734c656176696e67f5ff6a696e74726f64" +
            "756365649fbf646e616d656162647a6f6e65637a2d626663616c6c65726b31302e302e302e313a383064706565726b31302e" +
            "302e302e323a39306b696e6361726e6174696f6e0565636f756e74066969734c656176696e67f5ffbf646e616d656163647a" +
            "6f6e65637a2d636663616c6c65726b31302e302e302e313a383064706565726b31302e302e302e323a39306b696e6361726e" +
            "6174696f6e0565636f756e74066969734c656176696e67f5ffff656e616d657363640a65676e756d626572739f0102010304" +
            "00ff646e657773bf67636f6e74656e74bf666f726465727307677365727665727308ff6b73696c656e74466f724d73096969" +
            "734661696c696e67f4ffff",
    ),
)

class HeartbeatCodecTest : FunSpec({
    fun heartbeat(name: String) = Heartbeat(
        InstanceRecord(InstanceName(name), ZoneName("z"), SocketAddress("10.0.0.1", 80), SocketAddress("10.0.0.1", 90)),
        Incarnation(1_700_000_000_000),
        7,
        isLeaving = false,
    )

    fun counts(size: Int) = (1..size).map {
        HeartbeatCount(InstanceName("front-zone-$it"), Incarnation(1_700_000_000_000 + it), it.toLong(), it % 2 == 0)
    }

    test("`a message with all fields is decoded as it was encoded`") {
        val status = StoreStatus(ContentVersions(StoreVersion(1, 3), StoreVersion(2, 4)), 250, isFailing = true)
        val message = HeartbeatMessage(
            heartbeat("a"),
            listOf(heartbeat("b"), heartbeat("c")),
            counts(95),
            status,
            confirmation = Confirmation(DocumentVersion(3), ageMs = 250),
        )
        decodeHeartbeats(encodeHeartbeats(message)) shouldBe message
    }

    test("`a message about crashed servers is decoded as it was encoded`") {
        val crashes = CrashMessage(
            reports = listOf(CrashReport(Long.MIN_VALUE, 2)),
            suspects = listOf(3),
            answered = listOf(-4),
            blocks = listOf(BlockNotice(5, serial = 6, failures = 7, remainingMs = 8, isLifted = true)),
        )
        val message = HeartbeatMessage(heartbeat("a"), crashes = crashes)
        decodeHeartbeats(encodeHeartbeats(message)) shouldBe message
    }

    test("`the status of a watcher that states no epochs counts as failing`") {
        decodeHeartbeats(earlierRelease)?.storeStatus?.isFailing shouldBe true
    }

    test("`a message without data about other instances is decoded as it was encoded`") {
        decodeHeartbeats(encodeHeartbeats(HeartbeatMessage(heartbeat("a")))) shouldBe HeartbeatMessage(heartbeat("a"))
    }

    test("`the largest message fits into a datagram`") {
        val message = HeartbeatMessage(heartbeat("a"), List(16) { heartbeat("b$it") }, counts(600))
        encodeHeartbeats(message).size shouldBeLessThan MAX_DATAGRAM_BYTES
    }

    test("`random bytes, truncated and corrupted datagrams are rejected`") {
        checkAll(2_000, Arb.byteArray(Arb.int(0..200), Arb.byte())) { decodeHeartbeats(it) shouldBe null }
        val whole = encodeHeartbeats(HeartbeatMessage(heartbeat("a"), counts = counts(3)))
        whole.indices.forEach { decodeHeartbeats(whole.copyOf(it)) shouldBe null }
        whole.indices.forEach { index ->
            val corrupted = whole.copyOf().also { it[index] = (it[index] + 1).toByte() }
            decodeHeartbeats(corrupted) shouldBe null
        }
    }
})
