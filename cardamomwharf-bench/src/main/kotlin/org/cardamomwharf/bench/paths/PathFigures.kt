/*
 * Runs the benchmarks of hot paths and works out what the control of one daemon costs at the size that is designed for:
 * 870 daemons in 15 zones, so 57 peers in a zone, and 14 other zones.
 */
package org.cardamomwharf.bench.paths

import org.cardamomwharf.core.document.ClientBlockTable
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.step
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.encodeMessage
import org.cardamomwharf.repository.decodeBlocks
import org.cardamomwharf.repository.encodeBlocks
import org.openjdk.jmh.results.RunResult
import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.OptionsBuilder
import org.openjdk.jmh.runner.options.TimeValue
import org.openjdk.jmh.runner.options.VerboseMode

private const val PEERS = 57
private const val OTHER_ZONES = 14
private const val BLOCKS = 440_000
private const val DAEMONS = 870
private const val LOOKUPS_PER_SECOND = 680_000
private const val TICKS_PER_SECOND = 50
private const val DIVISIONS_PER_SECOND = 4
private const val US_PER_SECOND = 1_000_000.0
private const val PERCENT = 100
private const val BYTES_PER_KB = 1_024.0
private const val MEASURED_SECONDS = 1L
private const val ITERATIONS = 3
private const val NS_PER_MS = 1_000_000.0

/** The overhead of IP and TCP for one small message and its acknowledgement, in bytes. */
private const val PACKET_BYTES = 104

/** Returns all figures; runs for about two minutes. */
public fun measurePaths(): List<Figure> {
    val times = runBenchmarks()
    val raw = times.map { (name, us) -> Figure("$name, microseconds", us, null) }
    return raw + controlFigures(times) + trafficFigures() + lookupFigures(times) + tableFigures() + measureRoundTrip()
}

private fun runBenchmarks(): Map<String, Double> {
    val options = OptionsBuilder()
        .include("org.cardamomwharf.bench.paths.*")
        .forks(1)
        .warmupIterations(2)
        .warmupTime(TimeValue.seconds(MEASURED_SECONDS))
        .measurementIterations(ITERATIONS)
        .measurementTime(TimeValue.seconds(MEASURED_SECONDS))
        .verbosity(VerboseMode.SILENT)
        .build()
    return Runner(options).run().associate { nameOf(it) to it.primaryResult.score }.toSortedMap()
}

private fun nameOf(result: RunResult): String {
    val method = result.params.benchmark.substringAfterLast('.')
    val sizes = result.params.paramsKeys.joinToString { "$it ${result.params.getParam(it)}" }
    return "$method at $sizes"
}

private fun controlFigures(times: Map<String, Double>): List<Figure> {
    val cost = { name: String -> times.getValue("$name at peers $PEERS") }
    val heardPerSecond = PEERS.toDouble()
    val summariesPerSecond = summariesPerSecond()
    val usPerSecond = heardPerSecond * (cost("decode") + cost("hear")) +
        summariesPerSecond * (cost("decode") + cost("hear")) * SUMMARY_TO_HEARTBEAT +
        TICKS_PER_SECOND * cost("tick") + DIVISIONS_PER_SECOND * cost("divide") + cost("tell") + cost("encode")
    return listOf(Figure("control of a daemon, percent of a core", usPerSecond * PERCENT / US_PER_SECOND, CORE_PERCENT))
}

private fun trafficFigures(): List<Figure> {
    val beatBytes = encodeMessage(PeerMessage.HeartbeatMessage(sampleHeartbeat(1, 1))).size + Int.SIZE_BYTES
    val summary = PeerMessage.SummaryMessage(sampleSummary(otherZones().first()), isRelayed = true)
    val summaryBytes = encodeMessage(summary).size + Int.SIZE_BYTES
    val sent = PEERS * (beatBytes + PACKET_BYTES) + summariesPerSecond() * (summaryBytes + PACKET_BYTES)
    return listOf(
        Figure("heartbeat, bytes", beatBytes.toDouble(), null),
        Figure("summary, bytes", summaryBytes.toDouble(), null),
        Figure("summaries sent or heard by a daemon, per second", summariesPerSecond(), null),
        Figure("control traffic sent by a daemon, KB per second", sent / BYTES_PER_KB, KB_PER_SECOND),
    )
}

/** Returns the summaries that one daemon hears in a second, which are as many as it sends on average. */
private fun summariesPerSecond(): Double {
    val due = SAMPLE_NOW_MS + SUMMARY_DUE_MS
    val effects = step(sampleState(PEERS), EntryEvent.Tick(0), due).effects
    check(effects.any { it is EntryEffect.SendHeartbeat }) { "no heartbeat was due" }
    return OTHER_ZONES * PASSES_PER_SUMMARY * US_PER_SECOND / (MembershipSettings().summaryIntervalMs * MS_IN_US)
}

private fun lookupFigures(times: Map<String, Double>): List<Figure> {
    val us = times.getValue("lookUp at blocks $BLOCKS")
    val perDaemon = LOOKUPS_PER_SECOND.toDouble() / DAEMONS
    return listOf(
        Figure("look-ups for one core, per second", US_PER_SECOND / us, null),
        Figure(
            "core that the look-ups of a daemon take, percent",
            perDaemon * us * PERCENT / US_PER_SECOND,
            WHOLE_CORE
        ),
    )
}

private fun tableFigures(): List<Figure> {
    val contents = sampleDocument().copy(clientBlocks = sampleBlocks(BLOCKS)).encodeBlocks().contents
    val before = usedBytes()
    val startNs = System.nanoTime()
    val table = ClientBlockTable.build(decodeBlocks(contents))
    val tookMs = (System.nanoTime() - startNs) / NS_PER_MS
    val bytes = usedBytes() - before
    check(table.size == BLOCKS) { "blocks were lost" }
    return listOf(
        Figure("decoding $BLOCKS blocks and building their table, milliseconds", tookMs, APPLY_MS),
        Figure("$BLOCKS blocks as stored and kept for peers, MB", contents.size / BYTES_PER_KB / BYTES_PER_KB, null),
        Figure("table of $BLOCKS blocks, MB", bytes / BYTES_PER_KB / BYTES_PER_KB, TABLE_MB),
    )
}

private fun usedBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private const val CORE_PERCENT = 1.4
private const val KB_PER_SECOND = 24.0
private const val WHOLE_CORE = 100.0
private const val APPLY_MS = 15_000.0
private const val TABLE_MB = 128.0
private const val SUMMARY_DUE_MS = 1_000L
private const val MS_IN_US = 1_000.0
private const val SUMMARY_TO_HEARTBEAT = 4

/** One delegate passes each summary on, once in an interval. */
private const val PASSES_PER_SUMMARY = 1
private const val GC_ROUNDS = 3
