/*
 * Services and loads of deployments in which one region has about a tenth of the servers and a third of the callers.
 */
package org.cardamomwharf.steering.support

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.WeightedService
import kotlin.math.PI
import kotlin.math.sin

/** The region with few servers. */
internal const val POOR_REGION = "b"

private const val WAVE_SWING = 0.55
private const val WAVE_MS = 36_000.0
private val PHASES = mapOf("a" to 0.3, "b" to 0.63, "c" to 0.97)

/** Slow waves of the arrival rate, different in each region. */
internal fun wave(zone: String, nowMs: Long): Double =
    1 + WAVE_SWING * sin(2 * PI * (nowMs / WAVE_MS + PHASES.getValue(zone.take(1))))

internal fun zoneCounts(a: Int, b: Int, c: Int): Map<String, Int> =
    mapOf("a1" to a, "a2" to a, "b1" to b, "b2" to b, "c1" to c, "c2" to c)

internal fun routeOf(name: String, service: String, targetMs: Long, timeoutMs: Long, rank: Int) =
    READS.copy(
        name = name,
        prefix = "/$name/",
        backends = listOf(WeightedService(ServiceName(service), 1.0)),
        targetLatencyMs = targetMs,
        timeoutMs = timeoutMs,
        rank = rank,
    )

private fun Route.asUnsafe() = copy(isIdempotent = false)

/** Two services, each with two kinds of requests. */
internal val DESK = FleetService("desk", zoneCounts(59, 12, 49), slots = 3, queue = 9, keyCapacity = 13)
internal val LIBRARY = FleetService("library", zoneCounts(11, 2, 9), slots = 3, queue = 9, keyCapacity = 22)
internal val DESK_LOADS = listOf(
    FleetLoad(routeOf("lookup", "desk", 431, 2_697, 1), coldMs = 520.0, keys = 174, perSecond = 82.0),
    FleetLoad(routeOf("order", "desk", 534, 3_203, 1).asUnsafe(), coldMs = 680.0, keys = 82, perSecond = 38.0),
    FleetLoad(routeOf("upload", "library", 1_106, 3_276, 2).asUnsafe(), coldMs = 644.0, keys = 25, perSecond = 12.0),
    FleetLoad(routeOf("ledger", "library", 241, 1_177, 0), coldMs = 217.0, keys = 53, perSecond = 25.0),
).map { it.copy(rateFactorAt = ::wave) }

/** Two services on machines shared with other work, if [isNoiseReported] known from load reports. */
internal fun archiveServices(isNoiseReported: Boolean): List<FleetService> {
    val noise = MachineNoise(share = 0.15, factor = 2.5, periodMs = 600, isNoiseReported)
    return listOf(
        FleetService("catalogue", zoneCounts(50, 10, 42), slots = 4, queue = 12, keyCapacity = 20, noise),
        FleetService("booking", zoneCounts(21, 4, 17), slots = 5, queue = 15, keyCapacity = 15, noise),
    )
}
internal val ARCHIVE_LOADS = listOf(
    FleetLoad(routeOf("search", "catalogue", 651, 4_309, 2), coldMs = 751.0, keys = 327, perSecond = 153.0),
    FleetLoad(routeOf("booking", "booking", 861, 6_354, 1).asUnsafe(), coldMs = 993.0, keys = 103, perSecond = 48.0),
).map { it.copy(rateFactorAt = ::wave) }
