/*
 * The known backend servers, and which of them may receive requests.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.store.TableChange

/** Represents the known backend servers. */
public class ServerRegistry(private val location: InstanceLocation, private val parameters: SteeringParameters) {
    private val byName = HashMap<ServerName, KnownServer>()
    private val byService = HashMap<ServiceName, MutableList<KnownServer>>()
    private var evacuated: Set<ZoneName> = emptySet()
    private val leaving = LeavingServers()

    /** Returns the server with the given [name], or null. */
    public fun find(name: ServerName): KnownServer? = byName[name]

    /** Returns all servers of [service], including leaving ones. */
    public fun findByService(service: ServiceName): List<KnownServer> = byService[service].orEmpty()

    /** Returns true when neither the store, the operators nor the server itself exclude [server] from new requests. */
    public fun isEligible(server: KnownServer): Boolean =
        !server.record.isDraining && server.record !in leaving && server.record.zone !in evacuated

    /** Applies [changes] of the store. */
    public fun apply(changes: List<TableChange<ServerRecord>>, coldStartMs: (ServiceName) -> Long, nowMs: Long) {
        changes.forEach { change ->
            val after = change.after
            when {
                after == null -> change.before?.let { remove(it.name) }
                change.before == null -> add(after, coldStartMs(after.service), nowMs)
                else -> replace(after, coldStartMs(after.service), nowMs)
            }
        }
    }

    /**
     * Records that the server with the given [name] has announced that it is leaving. Nothing but a later start than
     * [startedAtUnixMs] makes it eligible again. Returns false when that was known.
     */
    public fun markLeaving(name: ServerName, startedAtUnixMs: Long): Boolean = leaving.add(name, startedAtUnixMs)

    /**
     * Sets the evacuated zones, whose servers receive no requests. Servers of a zone that is no longer evacuated count
     * as cold.
     */
    public fun evacuate(zones: Set<ZoneName>, services: Map<ServiceName, ServiceTerms>, nowMs: Long) {
        val readmitted = evacuated - zones
        evacuated = zones
        byName.values.filter { it.record.zone in readmitted }.forEach { server ->
            server.coldUntilMs = nowMs + (services[server.record.service]?.coldStartMs ?: 0)
            server.warmKeys.clear()
        }
    }

    private fun add(record: ServerRecord, coldStartMs: Long, nowMs: Long) {
        val known = byName[record.name]
        if (known != null) return replace(record, coldStartMs, nowMs)
        val region = location.regions[record.zone]
        val server = KnownServer(record, location.distanceTo(record.zone), region, parameters)
        server.coldUntilMs = nowMs + record.coldRemainingMs
        val peers = byService.getOrPut(record.service) { ArrayList() }
        server.isUntried = server.distance != Distance.OTHER_REGION && peers.any { it.hasReceivedRequest }
        byName[record.name] = server
        peers.add(server)
    }

    private fun replace(record: ServerRecord, coldStartMs: Long, nowMs: Long) {
        val server = byName[record.name]
        if (server == null || hasMoved(server.record, record)) {
            remove(record.name)
            return add(record, coldStartMs, nowMs)
        }
        if (server.record.startedAtUnixMs != record.startedAtUnixMs) {
            server.reset()
            server.coldUntilMs = nowMs + maxOf(record.coldRemainingMs, coldStartMs)
        } else if (record.coldRemainingMs != server.record.coldRemainingMs) {
            server.coldUntilMs = maxOf(server.coldUntilMs, nowMs + record.coldRemainingMs)
        }
        server.record = record
    }

    private fun hasMoved(before: ServerRecord, after: ServerRecord): Boolean =
        before.service != after.service || before.zone != after.zone || before.address != after.address

    private fun remove(name: ServerName) {
        val server = byName.remove(name) ?: return
        leaving.onRemoved(server.record)
        byService[server.record.service]?.remove(server)
    }
}
