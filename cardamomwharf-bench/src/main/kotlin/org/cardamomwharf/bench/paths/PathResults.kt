/*
 * Runs the benchmarks of the hot paths and computes the control cost of one instance at the design size: 870 instances
 * in 15 zones, so 57 peers in each zone and 14 other zones.
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
private const val INSTANCES = 870
private const val LOOKUPS_PER_SECOND = 680_000
private const val TICKS_PER_SECOND = 50
private const val OWNERSHIP_UPDATES_PER_SECOND = 4
private const val US_PER_SECOND = 1_000_000.0
private const val PERCENT = 100
private const val BYTES_PER_KB = 1_024.0
private const val MEASURED_SECONDS = 1L
private const val ITERATIONS = 3
private const val NS_PER_MS = 1_000_000.0

/** The overhead of IP and TCP for one small message and its acknowledgement, in bytes. */
private const val PACKET_OVERHEAD_BYTES = 104

/** Returns the results of all benchmarks; takes about two minutes. */
public fun measureHotPaths(): List<BenchmarkResult> {
    val times = runBenchmarks()
    val raw = times.map { (name, us) -> BenchmarkResult("$name, microseconds", us, null) }
    return raw + controlResults(times) + trafficResults() + lookupResults(times) + tableResults() + measureRoundTrip()
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
    return Runner(options).run().associate { getBenchmarkName(it) to it.primaryResult.score }.toSortedMap()
}

private fun getBenchmarkName(result: RunResult): String {
    val method = result.params.benchmark.substringAfterLast('.')
    val sizes = result.params.paramsKeys.joinToString { "$it ${result.params.getParam(it)}" }
    return "$method at $sizes"
}

private fun controlResults(times: Map<String, Double>): List<BenchmarkResult> {
    val cost = { name: String -> times.getValue("$name at peers $PEERS") }
    val heartbeatsPerSecond = PEERS.toDouble()
    val summariesPerSecond = summariesPerSecond()
    val usPerSecond = heartbeatsPerSecond * (cost("decode") + cost("receiveHeartbeat")) +
        summariesPerSecond * (cost("decode") + cost("receiveHeartbeat")) * SUMMARY_COST_FACTOR +
        TICKS_PER_SECOND * cost("tick") + OWNERSHIP_UPDATES_PER_SECOND * cost("updateOwnership") +
        cost("sendHeartbeat") + cost("encode")
    val percent = usPerSecond * PERCENT / US_PER_SECOND
    return listOf(BenchmarkResult("control of an instance, percent of a core", percent, MAX_CONTROL_PERCENT))
}

private fun trafficResults(): List<BenchmarkResult> {
    val heartbeatBytes = encodeMessage(PeerMessage.HeartbeatMessage(sampleHeartbeat(1, 1))).size + Int.SIZE_BYTES
    val summary = PeerMessage.SummaryMessage(sampleSummary(otherZones().first()), isRelayed = true)
    val summaryBytes = encodeMessage(summary).size + Int.SIZE_BYTES
    val sent = PEERS * (heartbeatBytes + PACKET_OVERHEAD_BYTES) +
        summariesPerSecond() * (summaryBytes + PACKET_OVERHEAD_BYTES)
    return listOf(
        BenchmarkResult("heartbeat, bytes", heartbeatBytes.toDouble(), null),
        BenchmarkResult("summary, bytes", summaryBytes.toDouble(), null),
        BenchmarkResult("summaries sent or received by an instance, per second", summariesPerSecond(), null),
        BenchmarkResult("control traffic sent by an instance, KB per second", sent / BYTES_PER_KB, MAX_KB_PER_SECOND),
    )
}

/** Returns the summaries that an instance receives per second; on average it sends as many. */
private fun summariesPerSecond(): Double {
    val due = SAMPLE_NOW_MS + SUMMARY_DELAY_MS
    val effects = step(sampleState(PEERS), EntryEvent.Tick(0), due).effects
    check(effects.any { it is EntryEffect.SendHeartbeat }) { "no heartbeat was due" }
    return OTHER_ZONES * RELAYS_PER_SUMMARY * US_PER_SECOND / (MembershipSettings().summaryIntervalMs * US_PER_MS)
}

private fun lookupResults(times: Map<String, Double>): List<BenchmarkResult> {
    val us = times.getValue("lookUp at blocks $BLOCKS")
    val perInstance = LOOKUPS_PER_SECOND.toDouble() / INSTANCES
    return listOf(
        BenchmarkResult("look-ups for one core, per second", US_PER_SECOND / us, null),
        BenchmarkResult(
            "core that the look-ups of an instance take, percent",
            perInstance * us * PERCENT / US_PER_SECOND,
            MAX_LOOKUP_PERCENT
        ),
    )
}

private fun tableResults(): List<BenchmarkResult> {
    val contents = sampleDocument().copy(clientBlocks = sampleBlocks(BLOCKS)).encodeBlocks().contents
    val beforeBytes = usedBytes()
    val startNs = System.nanoTime()
    val table = ClientBlockTable.build(decodeBlocks(contents))
    val buildMs = (System.nanoTime() - startNs) / NS_PER_MS
    val bytes = usedBytes() - beforeBytes
    check(table.size == BLOCKS) { "table size differs from the number of decoded blocks" }
    return listOf(
        BenchmarkResult("decoding $BLOCKS blocks and building their table, milliseconds", buildMs, MAX_TABLE_BUILD_MS),
        BenchmarkResult(
            "$BLOCKS blocks as stored and kept for peers, MB",
            contents.size / BYTES_PER_KB / BYTES_PER_KB,
            null,
        ),
        BenchmarkResult("table of $BLOCKS blocks, MB", bytes / BYTES_PER_KB / BYTES_PER_KB, MAX_TABLE_MB),
    )
}

private fun usedBytes(): Long {
    repeat(GC_ROUNDS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

private const val MAX_CONTROL_PERCENT = 1.4
private const val MAX_KB_PER_SECOND = 24.0
private const val MAX_LOOKUP_PERCENT = 100.0
private const val MAX_TABLE_BUILD_MS = 15_000.0
private const val MAX_TABLE_MB = 128.0
private const val SUMMARY_DELAY_MS = 1_000L
private const val US_PER_MS = 1_000.0
private const val SUMMARY_COST_FACTOR = 4

/** One delegate relays each summary once per interval. */
private const val RELAYS_PER_SUMMARY = 1
private const val GC_ROUNDS = 3
