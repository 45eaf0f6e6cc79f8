/*
 * The time that requests of a service have taken lately at backend servers. Waits and deadlines are judged by it, since
 * servers with cold caches take longer than the document says.
 */
package org.cardamomwharf.decision.servers

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.document.Service

private const val SCALE = 16

/** Represents moving averages in sixteenths of a millisecond. */
public data class ServiceTimes(private val averages: PersistentMap<ServiceName, Long> = persistentMapOf()) {
    /** Returns the time to expect of [service] in milliseconds, at least what the document says. */
    public fun estimateMs(service: Service): Long =
        maxOf(service.expectedServiceMs, (averages[service.name] ?: 0) / SCALE)

    /** Returns these times after a request took [tookMs]. */
    public fun record(service: ServiceName, tookMs: Long): ServiceTimes {
        val old = averages[service] ?: (tookMs * SCALE)
        return ServiceTimes(averages.put(service, old + tookMs - old / SCALE))
    }
}
