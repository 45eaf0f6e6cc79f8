/*
 * Durations of recent requests at backend servers, per service. They are used to estimate waits and to check
 * deadlines, since servers with cold caches take longer than the document says.
 */
package org.cardamomwharf.decision.servers

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.document.Service

private const val SCALE = 16

/** Represents the moving average of the duration of requests per service, in sixteenths of a millisecond. */
public data class ServiceTimes(private val averages: PersistentMap<ServiceName, Long> = persistentMapOf()) {
    /** Returns the expected duration of a request of [service], at least the one in the document. */
    public fun estimateMs(service: Service): Long =
        maxOf(service.expectedServiceMs, (averages[service.name] ?: 0) / SCALE)

    /** Records that a request took [tookMs]. */
    public fun record(service: ServiceName, tookMs: Long): ServiceTimes {
        val average = averages[service] ?: (tookMs * SCALE)
        return ServiceTimes(averages.put(service, average + tookMs - average / SCALE))
    }
}
