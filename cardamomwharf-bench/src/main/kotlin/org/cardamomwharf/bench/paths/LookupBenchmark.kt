/*
 * Benchmarks of client look-ups at several numbers of client blocks.
 */
package org.cardamomwharf.bench.paths

import org.cardamomwharf.core.document.ClientBlockTable
import org.cardamomwharf.decision.lookup.LookupView
import org.cardamomwharf.decision.lookup.Placement
import org.cardamomwharf.decision.lookup.createLookupView
import org.cardamomwharf.decision.lookup.rank
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

private const val PEERS = 57
private const val STRIDE = 7_919

/** Measures the look-up of a client and of its zone. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class LookupBenchmark {
    /** The number of client blocks. */
    @Param("4400", "44000", "440000")
    public var blocks: Int = 0

    private lateinit var view: LookupView
    private lateinit var table: ClientBlockTable
    private var next = 0

    /** Creates the look-up view and the client block table. */
    @Setup
    public fun prepare() {
        view = requireNotNull(createLookupView(sampleState(PEERS), SAMPLE_NOW_MS))
        table = ClientBlockTable.build(sampleBlocks(blocks).asSequence())
    }

    /** Ranks the instances for one client. */
    @Benchmark
    public fun lookUp(): List<Placement> {
        val client = nextAddress()
        val zone = requireNotNull(table.findZone(client))
        return view.rank(view.index.document.services.first(), zone, client)
    }

    /** Finds the zone of one client. */
    @Benchmark
    public fun findZone(): String? = table.findZone(nextAddress())?.value

    private fun nextAddress(): String {
        next = (next + STRIDE) % blocks
        return getBlockAddress(next)
    }
}
