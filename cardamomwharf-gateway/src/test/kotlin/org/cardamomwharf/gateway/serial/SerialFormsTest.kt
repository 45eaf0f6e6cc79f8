/*
 * Guards the bytes exchanged between instances, the names of metrics and log lines, and the codes of enums against
 * changes through renames in the code.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.cardamomwharf.gateway.serial

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.Logger
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.Property
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.proxy.AttemptTrace
import org.cardamomwharf.forward.proxy.RequestTrace
import org.cardamomwharf.forward.server.CallFailure
import org.cardamomwharf.gateway.directory.DirectoryScopeLog
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.peers.decodeHeartbeats
import org.cardamomwharf.gateway.peers.encodeHeartbeats
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.instances.DirectoryChoice
import org.cardamomwharf.steering.instances.DirectoryScope
import org.cardamomwharf.steering.instances.Heartbeat
import org.cardamomwharf.steering.instances.HeartbeatCount
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.placement.Warmth
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RegionChoice
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.OperatorOrder
import org.cardamomwharf.steering.store.StoreError
import org.cardamomwharf.steering.store.StoreStatus
import org.cardamomwharf.steering.store.StoreVersion
import java.nio.file.Files
import java.nio.file.Path
import java.util.HexFormat
import kotlin.streams.asSequence

private const val ANY_MS = 7_000L
private val address = SocketAddress("10.0.0.1", 80)
private val peerAddress = SocketAddress("10.0.0.2", 90)

/** Finds the names of events, fields and metrics in the sources; the functions that take them may be renamed. */
private val outerText = Regex("""\b(?:\w*[eE]vent|put|putJson\w+|name|help|labelNames|labelValues)\("[^)]*|"\w+" to """)

private fun heartbeat(name: String) =
    Heartbeat(InstanceRecord(InstanceName(name), ZoneName("z-$name"), address, peerAddress), Incarnation(5), 6, true)

private fun sampleTrace(warmth: Warmth, choice: RegionChoice, region: String?): RequestTrace {
    val placement = Placement.Send(ServerName("s"), address, warmth, 1.0, 2.0, region?.let(::RegionName), choice, 1)
    val first = AttemptTrace(placement, AttemptOutcome.SHED.code, "detail", 3)
    return RequestTrace(
        "id", "route", "service", "key", 4, "outcome", 503, 5, 6,
        listOf(first, first.copy(outcome = AttemptOutcome.LOST.code)),
    )
}

private fun sampleTraces(): List<RequestTrace> = Warmth.entries.zip(RegionChoice.entries) { warmth, choice ->
    sampleTrace(warmth, choice, if (choice == RegionChoice.HOME) null else "r")
}

/** Returns the lines that [write] writes to the decision log. */
private fun captureLines(write: (DecisionLog) -> Unit): List<String> {
    val lines = ArrayList<String>()
    val appender = object : AbstractAppender("recorded", null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            lines += event.message.formattedMessage
        }
    }
    val logger = LogManager.getLogger("cardamomwharf.decisions") as Logger
    val level = logger.level
    appender.start()
    logger.addAppender(appender)
    Configurator.setLevel(logger.name, Level.INFO)
    write(DecisionLog { ANY_MS })
    Configurator.setLevel(logger.name, level)
    logger.removeAppender(appender)
    return lines
}

class SerialFormsTest : FunSpec({
    checkForms("peer-state", PeerState.serializer(), Cbor { ignoreUnknownKeys = true })

    test("`the peer state of a release without teams is read as one that has none`") {
        val cbor = Cbor { ignoreUnknownKeys = true }
        val line = Files.readAllLines(Path.of("src/test/resources/golden/peer-state.earlier.txt")).single()
        val state = cbor.decodeFromByteArray(PeerState.serializer(), HexFormat.of().parseHex(line))
        val order = state.orders?.entries?.single()?.value as OperatorOrder.Desired
        order.state.teams shouldBe emptyList()
        order.state.routes.single().transfer shouldBe TransferKind.SMALL
    }

    test("`datagrams are written and read as recorded`") {
        val counts = listOf(
            HeartbeatCount(InstanceName("d"), Incarnation(1), 2, true),
            HeartbeatCount(InstanceName("e"), Incarnation(3), 4, false),
        )
        val status = StoreStatus(ContentVersions(StoreVersion(1, 7), StoreVersion(2, 8)), 9, isFailing = true)
        val message = HeartbeatMessage(heartbeat("a"), listOf(heartbeat("b"), heartbeat("c")), counts, status)
        val recorded = compareWithRecorded("datagram.txt", listOf(HexFormat.of().formatHex(encodeHeartbeats(message))))
        decodeHeartbeats(HexFormat.of().parseHex(recorded.single())) shouldBe message
    }

    test("`lines of the decision log are those that were recorded`") {
        val lines = captureLines { log ->
            sampleTraces().forEach(log::record)
            val scopeLog = DirectoryScopeLog(log, GatewayMetrics())
            DirectoryScope.entries.forEach { scopeLog.record(ZoneName("z"), DirectoryChoice(it, emptyList())) }
        }
        compareWithRecorded("log-lines.txt", lines)
    }

    test("`names of events, fields and metrics in the sources are those that were recorded`") {
        val texts = Files.walk(Path.of("src/main/kotlin")).asSequence().filter { "$it".endsWith(".kt") }
            .flatMap { file -> outerText.findAll(Files.readString(file)).map { it.value } }
            .flatMap { call -> Regex("\"[^\"]*\"").findAll(call).map { it.value } }
        compareWithRecorded("outer-texts.txt", texts.sorted().toList())
    }

    test("`the texts of enum constants are those that were recorded`") {
        val enums = Warmth.entries.map { it.name } + HttpFailure.entries.map { it.name } +
            RegionChoice.entries.map { "choice ${it.name} ${it.code}" } +
            RefusalReason.entries.map { "refusal ${it.name} ${it.code}" } +
            AttemptOutcome.entries.map { "attempt ${it.name} ${it.code}" } +
            DirectoryScope.entries.map { "scope ${it.name} ${it.code}" } +
            StoreError.entries.map { "store ${it.name} ${it.code}" } +
            CallFailure.entries.map { "call ${it.name} ${it.code}" }
        compareWithRecorded("enums.txt", enums)
    }
})
