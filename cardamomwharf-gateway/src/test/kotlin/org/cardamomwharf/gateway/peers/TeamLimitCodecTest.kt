/*
 * Tests that what heartbeats state about the requests of teams survives encoding and decoding, stays small, and is
 * ignored when it is malformed.
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
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.teams.limits.TeamDemand
import org.cardamomwharf.steering.teams.limits.TeamLimitMessage
import org.cardamomwharf.steering.teams.limits.ZoneDemand
import java.util.HexFormat
import kotlin.random.Random

private const val TEAMS = 75
private const val ZONES = 6
private const val INSTANCES = 112

/** Half of a datagram's maximum, so that the heartbeat counts of more instances have room. */
private const val MAX_SUMS_BYTES = 32_000
private const val MAX_ZONE_BYTES = 600

@Serializable
private class EarlierSender(val name: String)

/** Elements that the release before knows; it ignores others. */
@Serializable
private class EarlierMessage(val sender: EarlierSender)

@OptIn(ExperimentalSerializationApi::class)
class TeamLimitCodecTest : FunSpec({
    val sender = Heartbeat(
        InstanceRecord(InstanceName("a"), ZoneName("z"), SocketAddress("10.0.0.1", 80), SocketAddress("10.0.0.1", 90)),
        Incarnation(1_700_000_000_000),
        7,
        isLeaving = false,
    )
    val random = Random(1)

    fun teams(count: Int) = List(count) {
        val sent = random.nextInt(300)
        TeamDemand(random.nextInt(1 shl 24), sent + random.nextInt(3), sent)
    }

    fun zone(index: Int, teams: List<TeamDemand>) = ZoneDemand(ZoneName("region-zone-$index"), 36L * index, 19, teams)

    test("`sums and reports are decoded as they were encoded`") {
        val messages = listOf(
            TeamLimitMessage(),
            TeamLimitMessage(own = emptyList()),
            TeamLimitMessage(own = teams(3)),
            TeamLimitMessage(
                own = listOf(TeamDemand(0xFFFFFF, Int.MAX_VALUE, 1)),
                zones = List(2) { zone(it, teams(2)) }
            ),
        )
        messages.forEach { limits ->
            val message = HeartbeatMessage(sender, teamLimits = limits)
            decodeHeartbeats(encodeHeartbeats(message)) shouldBe message
        }
    }

    test("`the sums of all zones fit into a datagram with the heartbeat counts of all instances`") {
        val counts = List(
            INSTANCES
        ) { HeartbeatCount(InstanceName("front-zone-$it"), Incarnation(1L shl 40), 99, false) }
        val sums = TeamLimitMessage(zones = List(ZONES) { zone(it, teams(TEAMS)) })
        val zone = encodeTeamLimits(TeamLimitMessage(zones = sums.zones.take(1))).size
        val report = encodeTeamLimits(TeamLimitMessage(own = teams(TEAMS))).size
        val all = encodeHeartbeats(HeartbeatMessage(sender, counts = counts, teamLimits = sums)).size
        println("sums of one zone $zone bytes, of all ${encodeTeamLimits(sums).size}, report $report, datagram $all")
        zone shouldBeLessThan MAX_ZONE_BYTES
        all shouldBeLessThan MAX_SUMS_BYTES
    }

    test("`a message without sums is encoded as by the release before`") {
        val bytes = encodeHeartbeats(HeartbeatMessage(sender))
        HexFormat.of().formatHex(bytes).contains(HexFormat.of().formatHex("teamLimits".toByteArray())) shouldBe false
    }

    test("`the release before reads a message with sums`") {
        val sums = TeamLimitMessage(own = teams(3), zones = listOf(zone(0, teams(3))))
        val message = HeartbeatMessage(sender, teamLimits = sums)
        val cbor = Cbor { ignoreUnknownKeys = true }
        val payload = unframe(encodeHeartbeats(message)) ?: error("the frame is invalid")
        cbor.decodeFromByteArray(EarlierMessage.serializer(), payload).sender.name shouldBe "a"
    }

    test("`malformed bytes are ignored`") {
        checkAll(2_000, Arb.byteArray(Arb.int(0..100), Arb.byte())) { decodeTeamLimits(it) }
        val whole = encodeTeamLimits(TeamLimitMessage(own = teams(3)))
        (0 until whole.size).forEach { decodeTeamLimits(whole.copyOf(it)) shouldBe null }
    }
})
