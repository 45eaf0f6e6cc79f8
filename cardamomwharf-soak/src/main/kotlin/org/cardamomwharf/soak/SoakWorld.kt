/*
 * The parts of a run: a store, backend servers and gateways, with relays on the ways between them.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.platform.standin.BackendRun
import org.cardamomwharf.platform.standin.BackendStandin
import org.cardamomwharf.platform.standin.StoreStandin
import org.cardamomwharf.platform.standin.remove
import org.cardamomwharf.platform.standin.write
import org.cardamomwharf.standin.network.TcpRelay
import org.cardamomwharf.standin.network.startTcpRelay
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.ServiceTerms
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.servers.ServerRecord
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val SLOTS = 8
private const val ROUTE_TIMEOUT_MS = 1_000L
private const val TARGET_MS = 300L
private const val LARGEST_CONNECTIONS = 300
private const val COLD_MS = 500L
private const val COLD_PER_SECOND = 50.0
private const val LARGEST_HEAD_BYTES = 16_384
private const val LARGEST_BODY_BYTES = 65_536L
private const val HEAD_TIMEOUT_MS = 3_000L
private const val IDLE_TIMEOUT_MS = 15_000L
private const val STORE_PORT = 7_000
private const val SERVER_PORT = 9_000

/** Versions whose routes a configuration holds; older ones are dropped. */
private const val KEPT_VERSIONS = 6

/** Zones of the backend servers of each service. */
private val serverZones = listOf("a1", "a1", "a2", "b1")

/** Zones of the instances. */
private val instanceZones = listOf("a1", "a1", "a2", "b1")

/** Host name that callers ask for. */
const val HOST: String = "shop.example"

/** Represents a backend server that is registered. */
class SoakServer(val record: ServerRecord, val standin: BackendStandin, val relay: TcpRelay, val real: SocketAddress) {
    @Volatile
    var running: JettyServer? = null

    /** True while the server ends or starts again, so that one change at a time is made. */
    val isLeaving = AtomicBoolean(false)
}

/** Represents the parts of one run on the addresses 127.[network].x.y, with logs in [folder]. */
class SoakWorld(private val network: Int, folder: Path) : AutoCloseable {
    val clock = monotonicClock()
    val store = StoreStandin()
    val gateways: List<GatewayHandle>
    val storeWires: List<TcpRelay>
    val servers = ConcurrentHashMap<String, SoakServer>()
    private val storeAddress = SocketAddress("127.$network.250.1", STORE_PORT)
    private val storeServer = store.start(storeAddress)
    private val everyStandin = ConcurrentHashMap.newKeySet<BackendStandin>()
    private val relays = ConcurrentHashMap.newKeySet<TcpRelay>()
    private val numbers = AtomicInteger()
    private val version = AtomicInteger()

    init {
        reconfigure()
        listOf("reads", "bookings").forEach { service -> serverZones.forEach { addServer(service, it) } }
        val hosts = instanceZones.indices.map { "127.$network.1.${it + 1}" }
        storeWires = hosts.map { relayOf(SocketAddress(it, STORE_PORT), storeAddress) }
        gateways = instanceZones.mapIndexed { index, zone ->
            GatewayHandle("i${index + 1}", zone, hosts[index], "${hosts[index]}:$STORE_PORT", folder)
        }
        gateways.forEach { it.start() }
    }

    /** The newest version that is in force. */
    val newestVersion: Int get() = version.get()

    /** Returns the server at [position] of those that are registered, counted round, or null without any. */
    fun find(position: Int): SoakServer? {
        val known = servers.values.sortedBy { it.record.name.value }
        return if (known.isEmpty()) null else known[position % known.size]
    }

    /** What all servers ran, by name, ended ones included. */
    fun runs(): Map<String, List<BackendRun>> =
        everyStandin.groupBy({ it.name.value }, { it.runs }).mapValues { it.value.flatten() }

    /** Puts the next version in force, which adds a route of its own. */
    @Synchronized
    fun reconfigure(): Int {
        val next = version.incrementAndGet()
        val probes = (maxOf(1, next - KEPT_VERSIONS + 1)..next).map { routeOf("/v$it/", "reads", isIdempotent = true) }
        val routes = listOf(routeOf("/reads/", "reads", true), routeOf("/bookings/", "bookings", false)) + probes
        store.write(
            DesiredState(
                version = DocumentVersion(next.toLong()),
                routes = routes,
                services = listOf("reads", "bookings").map { ServiceName(it) }
                    .associateWith { ServiceTerms(it, "/health", LARGEST_CONNECTIONS, COLD_MS, COLD_PER_SECOND) },
                callerLimits = CallerLimits(LARGEST_HEAD_BYTES, LARGEST_BODY_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS),
            ),
        )
        return next
    }

    /** Returns true when the configuration still has the route of [probed]. */
    fun isKept(probed: Int): Boolean = probed > newestVersion - KEPT_VERSIONS

    /** Adds a server at a new address. */
    fun addServer(service: String, zone: String): SoakServer {
        val number = numbers.incrementAndGet()
        val listen = SocketAddress("127.$network.2.$number", SERVER_PORT)
        val real = SocketAddress("127.$network.3.$number", SERVER_PORT)
        return register(recordOf(service, zone, number, listen), relayOf(listen, real), real)
    }

    /** Starts a server of another service where [old] was. */
    fun reuseAddress(old: SoakServer): SoakServer {
        val service = if (old.record.service.value == "reads") "bookings" else "reads"
        val number = numbers.incrementAndGet()
        return register(recordOf(service, old.record.zone.value, number, old.record.address), old.relay, old.real)
    }

    private fun register(record: ServerRecord, relay: TcpRelay, real: SocketAddress): SoakServer {
        val standin = BackendStandin(record.name, record.service.value, SLOTS, clock::nowMs)
        val server = SoakServer(record, standin, relay, real)
        everyStandin.add(standin)
        server.running = standin.start(real)
        servers[record.name.value] = server
        store.write(record)
        return server
    }

    /** Ends [server] and removes its entry. */
    fun end(server: SoakServer) {
        store.remove(server.record.name)
        servers.remove(server.record.name.value)
        server.running?.stop()
    }

    private fun relayOf(listen: SocketAddress, far: SocketAddress): TcpRelay =
        startTcpRelay(listen, far).also { relays.add(it) }

    override fun close() {
        gateways.forEach { it.thaw() }
        gateways.forEach { it.kill() }
        relays.forEach { it.close() }
        servers.values.forEach { it.running?.stop() }
        storeServer.stop()
    }
}

private fun recordOf(service: String, zone: String, number: Int, listen: SocketAddress) = ServerRecord(
    name = ServerName("$service-$number"),
    service = ServiceName(service),
    address = listen,
    zone = ZoneName(zone),
    slots = SLOTS,
    isDraining = false,
    startedAtUnixMs = System.currentTimeMillis(),
    coldRemainingMs = 0,
)

private fun routeOf(prefix: String, service: String, isIdempotent: Boolean) = Route(
    name = prefix.trim('/'),
    host = HOST,
    prefix = prefix,
    isIdempotent = isIdempotent,
    backends = listOf(WeightedService(ServiceName(service), 1.0)),
    timeoutMs = ROUTE_TIMEOUT_MS,
    targetLatencyMs = TARGET_MS,
    rank = 1,
    maxAttempts = 2,
    isSticky = true,
    allowedRegions = emptySet(),
)
