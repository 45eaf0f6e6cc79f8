/*
 * Runs a plan as an open loop: requests start on time whether or not earlier ones have ended, and their latency counts
 * from the time they should have started.
 */
package org.cardamomwharf.load

import org.HdrHistogram.ConcurrentHistogram
import org.cardamomwharf.core.Clock
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

private const val THREADS = 256
private const val LARGEST_LATENCY_MS = 120_000L
private const val DIGITS = 3
private const val MS_PER_SECOND = 1_000L
private const val LARGEST_SAMPLES = 5
private const val END_MARGIN_MS = 5_000L

/** Represents a load run that is under way. */
public class LoadRun(
    private val plan: LoadPlan,
    private val caller: CallerStandin,
    private val clock: Clock,
) {
    private val tallies = plan.services.associate { it.service to Tally() }
    private val pool = Executors.newFixedThreadPool(THREADS) { Thread(it, "caller").apply { isDaemon = true } }

    /** Runs the whole plan and returns what was counted. */
    public fun run(): LoadResult {
        val startMs = clock.nowMs()
        val pacers = plan.services.map { service ->
            Thread({ pace(service, startMs) }, "pacer-${service.service}").apply { start() }
        }
        pacers.forEach { it.join() }
        pool.shutdown()
        pool.awaitTermination(plan.deadlineMs + END_MARGIN_MS, TimeUnit.MILLISECONDS)
        return LoadResult(
            durationMs = plan.durationMs,
            services = plan.services.map { resultOf(it) },
            wrongAnswers = tallies.values.flatMap { it.samples() },
        )
    }

    private fun pace(service: ServiceLoadPlan, startMs: Long) {
        val total = service.requestsPerSecond * plan.durationMs / MS_PER_SECOND
        for (number in 0 until total) {
            val dueMs = startMs + number * MS_PER_SECOND / service.requestsPerSecond
            val waitMs = dueMs - clock.nowMs()
            if (waitMs > 0) Thread.sleep(waitMs)
            pool.execute { runOne(service, number, dueMs) }
        }
    }

    private fun runOne(service: ServiceLoadPlan, number: Long, dueMs: Long) {
        val client = plan.clients[(number % plan.clients.size).toInt()]
        val key = "${service.service}-${plan.seed}-$number"
        val end = caller.run(CallerTask(service.service, service.kind, client, number, key))
        tallies.getValue(service.service).note(end, clock.nowMs() - dueMs)
    }

    private fun resultOf(service: ServiceLoadPlan): ServiceResult =
        tallies.getValue(service.service).result(service)

    private class Tally {
        private val latency = ConcurrentHistogram(LARGEST_LATENCY_MS, DIGITS)
        private val ends = ConcurrentHashMap<String, LongAdder>()
        private val wrong = LongAdder()
        private val wrongSamples = ArrayBlockingQueue<WrongAnswer>(LARGEST_SAMPLES)
        private val tries = LongAdder()

        fun note(end: CallerEnd, tookMs: Long) {
            latency.recordValue(tookMs.coerceIn(0, LARGEST_LATENCY_MS))
            ends.computeIfAbsent("${end.outcome} ${end.reason}") { LongAdder() }.increment()
            tries.add(end.tries.toLong())
            end.wrong?.let(::noteWrong)
        }

        private fun noteWrong(answer: WrongAnswer) {
            wrong.increment()
            wrongSamples.offer(answer)
        }

        fun samples(): List<WrongAnswer> = wrongSamples.toList()

        fun result(service: ServiceLoadPlan): ServiceResult = ServiceResult(
            service = service.service,
            kind = service.kind.name.lowercase(),
            requests = latency.totalCount,
            tries = tries.sum(),
            ends = ends.mapValues { it.value.sum() }.toSortedMap(),
            wrongAnswers = wrong.sum(),
            latencyMs = LatencyResult.of(latency),
        )
    }
}
