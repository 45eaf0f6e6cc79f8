/*
 * What an instance does for its membership at several numbers of peers in its zone: hearing heartbeats, ticking,
 * telling.
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

/** Measures the control work of one instance. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class ControlBenchmark {
    /** The number of peers in the zone. */
    @Param("10", "29", "57")
    public var peers: Int = 0

    private lateinit var state: EntryState
    private lateinit var beat: PeerMessage
    private lateinit var frame: ByteArray
    private var sequence = FIRST_SEQUENCE

    /** Makes the state. */
    @Setup
    public fun prepare() {
        state = sampleState(peers)
        beat = PeerMessage.HeartbeatMessage(sampleHeartbeat(1, 1))
        frame = encodeMessage(beat)
    }

    /** Hears one heartbeat. */
    @Benchmark
    public fun hear(): EntryStep {
        sequence++
        val number = 1 + (sequence % peers).toInt()
        val next = step(state, EntryEvent.HeartbeatReceived(sampleHeartbeat(number, sequence)), SAMPLE_NOW_MS)
        state = next.state
        return next
    }

    /** Ticks once without a heartbeat being due. */
    @Benchmark
    public fun tick(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS)

    /** Ticks once with the ownership being looked at again. */
    @Benchmark
    public fun divide(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS + OWNERSHIP_MS)

    /** Ticks once with a heartbeat and summaries being due. */
    @Benchmark
    public fun tell(): EntryStep = step(state, EntryEvent.Tick(0), SAMPLE_NOW_MS + HEARTBEAT_MS)

    /** Encodes one heartbeat. */
    @Benchmark
    public fun encode(): ByteArray = encodeMessage(beat)

    /** Decodes one heartbeat. */
    @Benchmark
    public fun decode(): PeerMessage = decodeMessage(frame)

    private companion object {
        const val HEARTBEAT_MS = 2_000L
        const val OWNERSHIP_MS = 300L
    }
}
