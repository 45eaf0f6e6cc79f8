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
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion

private const val MAX_DATAGRAM_BYTES = 65_507

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
        val message = HeartbeatMessage(heartbeat("a"), listOf(heartbeat("b"), heartbeat("c")), counts(95), status)
        decodeHeartbeats(encodeHeartbeats(message)) shouldBe message
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
