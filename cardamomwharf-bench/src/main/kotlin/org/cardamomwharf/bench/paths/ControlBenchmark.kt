/*
 * Benchmarks of the membership protocol of one instance at several numbers of peers in its zone.
 */
package org.cardamomwharf.bench.paths

import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.EntryStep
import org.cardamomwharf.decision.step
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.decodeMessage
import org.cardamomwharf.peer.encodeMessage
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

private const val FIRST_SEQUENCE = 1_000L

/** Measures receiving, sending and encoding heartbeats, and periodic ticks. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class ControlBenchmark {
    /** The number of peers in the zone. */
    @Param("10", "29", "57")
    public var peers: Int = 0

    private lateinit var state: EntryState
    private lateinit var heartbeat: PeerMessage
    private lateinit var frame: ByteArray
    private var sequence = FIRST_SEQUENCE

    /** Creates the instance state and the encoded heartbeat. */
    @Setup
    public fun prepare() {
        state = sampleState(peers)
        heartbeat = PeerMessage.HeartbeatMessage(sampleHeartbeat(1, 1))
        frame = encodeMessage(heartbeat)
    }

    /** Processes one received heartbeat. */
    @Benchmark
    public fun receiveHeartbeat(): EntryStep {
        sequence++
        val number = 1 + (sequence % peers).toInt()
        val next = step(state, EntryEvent.HeartbeatReceived(sampleHeartbeat(number, sequence)), SAMPLE_NOW_MS)
        state = next.state
        return next
    }

    /** Processes a tick at which no heartbeat is due. */
    @Benchmark
    public fun tick(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS)

    /** Processes a tick at which the ownership of servers is recomputed. */
    @Benchmark
    public fun updateOwnership(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS + OWNERSHIP_INTERVAL_MS)

    /** Processes a tick at which a heartbeat and summaries are due. */
    @Benchmark
    public fun sendHeartbeat(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS + HEARTBEAT_INTERVAL_MS)

    @Benchmark
    public fun encode(): ByteArray = encodeMessage(heartbeat)

    @Benchmark
    public fun decode(): PeerMessage = decodeMessage(frame)

    private companion object {
        const val HEARTBEAT_INTERVAL_MS = 2_000L
        const val OWNERSHIP_INTERVAL_MS = 300L
    }
}
