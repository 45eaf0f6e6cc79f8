/*
 * Runs a plan as an open loop: requests start on schedule even if earlier ones are still open, and their latency is
 * measured from the scheduled start.
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
private const val MAX_LATENCY_MS = 120_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MS_PER_SECOND = 1_000L
private const val MAX_SAMPLES = 5
private const val SHUTDOWN_MARGIN_MS = 5_000L

/** Runs a load plan and counts the results. */
public class LoadRun(
    private val plan: LoadPlan,
    private val caller: CallerStandin,
    private val clock: Clock,
) {
    private val counters = plan.services.associate { it.service to ServiceCounters() }
    private val pool = Executors.newFixedThreadPool(THREADS) { Thread(it, "caller").apply { isDaemon = true } }

    /** Runs the plan to its end and returns the result. */
    public fun run(): LoadResult {
        val startMs = clock.nowMs()
        val pacers = plan.services.map { service ->
            Thread({ pace(service, startMs) }, "pacer-${service.service}").apply { start() }
        }
        pacers.forEach { it.join() }
        pool.shutdown()
        pool.awaitTermination(plan.deadlineMs + SHUTDOWN_MARGIN_MS, TimeUnit.MILLISECONDS)
        return LoadResult(
            durationMs = plan.durationMs,
            services = plan.services.map { getResult(it) },
            wrongResponses = counters.values.flatMap { it.samples() },
        )
    }

    private fun pace(service: ServiceLoadPlan, startMs: Long) {
        val total = service.requestsPerSecond * plan.durationMs / MS_PER_SECOND
        for (number in 0 until total) {
            val scheduledAtMs = startMs + number * MS_PER_SECOND / service.requestsPerSecond
            val delayMs = scheduledAtMs - clock.nowMs()
            if (delayMs > 0) Thread.sleep(delayMs)
            pool.execute { runOne(service, number, scheduledAtMs) }
        }
    }

    private fun runOne(service: ServiceLoadPlan, number: Long, scheduledAtMs: Long) {
        val client = plan.clients[(number % plan.clients.size).toInt()]
        val key = "${service.service}-${plan.seed}-$number"
        val result = caller.run(CallerRequest(service.service, service.kind, client, number, key))
        counters.getValue(service.service).record(result, clock.nowMs() - scheduledAtMs)
    }

    private fun getResult(service: ServiceLoadPlan): ServiceResult =
        counters.getValue(service.service).result(service)

    private class ServiceCounters {
        private val latency = ConcurrentHistogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        private val outcomes = ConcurrentHashMap<String, LongAdder>()
        private val wrongCount = LongAdder()
        private val wrongSamples = ArrayBlockingQueue<WrongResponse>(MAX_SAMPLES)
        private val attempts = LongAdder()

        fun record(result: CallerResult, latencyMs: Long) {
            latency.recordValue(latencyMs.coerceIn(0, MAX_LATENCY_MS))
            outcomes.computeIfAbsent("${result.outcome} ${result.reason}") { LongAdder() }.increment()
            attempts.add(result.attempts.toLong())
            result.wrongResponse?.let(::recordWrong)
        }

        private fun recordWrong(response: WrongResponse) {
            wrongCount.increment()
            wrongSamples.offer(response)
        }

        fun samples(): List<WrongResponse> = wrongSamples.toList()

        fun result(service: ServiceLoadPlan): ServiceResult = ServiceResult(
            service = service.service,
            kind = service.kind.name.lowercase(),
            requests = latency.totalCount,
            attempts = attempts.sum(),
            outcomes = outcomes.mapValues { it.value.sum() }.toSortedMap(),
            wrongResponses = wrongCount.sum(),
            latencyMs = LatencyResult.fromHistogram(latency),
        )
    }
}
