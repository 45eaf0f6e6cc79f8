/*
 * The cluster of a run: a store, backend servers and gateways, connected through relays.
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
private const val MAX_CONNECTIONS = 300
private const val COLD_START_MS = 500L
private const val COLD_PER_SECOND = 50.0
private const val MAX_HEADER_BYTES = 16_384
private const val MAX_BODY_BYTES = 65_536L
private const val HEADER_TIMEOUT_MS = 3_000L
private const val IDLE_TIMEOUT_MS = 15_000L
private const val STORE_PORT = 7_000
private const val SERVER_PORT = 9_000

/** Number of versions whose routes are in a configuration; routes of older versions are removed. */
private const val RETAINED_VERSIONS = 6

/** Zones of the backend servers of each service. */
private val serverZones = listOf("a1", "a1", "a2", "b1")

/** Zones of the instances. */
private val instanceZones = listOf("a1", "a1", "a2", "b1")

/** The host name in the requests of callers. */
const val HOST: String = "shop.example"

/** Represents a registered backend server. */
class SoakServer(
    val record: ServerRecord,
    val standin: BackendStandin,
    val relay: TcpRelay,
    val address: SocketAddress,
) {
    @Volatile
    var running: JettyServer? = null

    /** Whether the server is being stopped or restarted; prevents concurrent changes. */
    val isChanging = AtomicBoolean(false)
}

/** Represents the cluster of one run on the addresses 127.[network].x.y, with logs in [folder]. */
class SoakCluster(private val network: Int, folder: Path) : AutoCloseable {
    val clock = monotonicClock()
    val store = StoreStandin()
    val gateways: List<GatewayProcess>
    val storeRelays: List<TcpRelay>
    val servers = ConcurrentHashMap<String, SoakServer>()
    private val storeAddress = SocketAddress("127.$network.250.1", STORE_PORT)
    private val storeServer = store.start(storeAddress)
    private val allStandins = ConcurrentHashMap.newKeySet<BackendStandin>()
    private val relays = ConcurrentHashMap.newKeySet<TcpRelay>()
    private val numbers = AtomicInteger()
    private val version = AtomicInteger()

    init {
        reconfigure()
        listOf("reads", "bookings").forEach { service -> serverZones.forEach { addServer(service, it) } }
        val hosts = instanceZones.indices.map { "127.$network.1.${it + 1}" }
        storeRelays = hosts.map { startRelay(SocketAddress(it, STORE_PORT), storeAddress) }
        gateways = instanceZones.mapIndexed { index, zone ->
            GatewayProcess("i${index + 1}", zone, hosts[index], "${hosts[index]}:$STORE_PORT", folder)
        }
        gateways.forEach { it.start() }
    }

    /** The newest configuration version that was written to the store. */
    val newestVersion: Int get() = version.get()

    /** Returns the registered server at [position] modulo their number, or null if there is none. */
    fun findServer(position: Int): SoakServer? {
        val registered = servers.values.sortedBy { it.record.name.value }
        return if (registered.isEmpty()) null else registered[position % registered.size]
    }

    /** Returns the requests that each server ran, by server name and including stopped servers. */
    fun runs(): Map<String, List<BackendRun>> =
        allStandins.groupBy({ it.name.value }, { it.runs }).mapValues { it.value.flatten() }

    /** Writes the next configuration version, which adds its own route, and returns its number. */
    @Synchronized
    fun reconfigure(): Int {
        val next = version.incrementAndGet()
        val probes = (maxOf(1, next - RETAINED_VERSIONS + 1)..next)
            .map { createRoute("/v$it/", "reads", isIdempotent = true) }
        val routes =
            listOf(createRoute("/reads/", "reads", true), createRoute("/bookings/", "bookings", false)) + probes
        store.write(
            DesiredState(
                version = DocumentVersion(next.toLong()),
                routes = routes,
                services = listOf("reads", "bookings").map { ServiceName(it) }
                    .associateWith { ServiceTerms(it, "/health", MAX_CONNECTIONS, COLD_START_MS, COLD_PER_SECOND) },
                callerLimits = CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS),
            ),
        )
        return next
    }

    /** Returns whether the newest configuration has the route of [routeVersion]. */
    fun hasRoute(routeVersion: Int): Boolean = routeVersion > newestVersion - RETAINED_VERSIONS

    /** Registers and starts a server at a new address. */
    fun addServer(service: String, zone: String): SoakServer {
        val number = numbers.incrementAndGet()
        val listen = SocketAddress("127.$network.2.$number", SERVER_PORT)
        val address = SocketAddress("127.$network.3.$number", SERVER_PORT)
        return register(createServerRecord(service, zone, number, listen), startRelay(listen, address), address)
    }

    /** Registers and starts a server of another service at the address of [old]. */
    fun reuseAddress(old: SoakServer): SoakServer {
        val service = if (old.record.service.value == "reads") "bookings" else "reads"
        val number = numbers.incrementAndGet()
        val record = createServerRecord(service, old.record.zone.value, number, old.record.address)
        return register(record, old.relay, old.address)
    }

    private fun register(record: ServerRecord, relay: TcpRelay, address: SocketAddress): SoakServer {
        val standin = BackendStandin(record.name, record.service.value, SLOTS, clock::nowMs)
        val server = SoakServer(record, standin, relay, address)
        allStandins.add(standin)
        server.running = standin.start(address)
        servers[record.name.value] = server
        store.write(record)
        return server
    }

    /** Unregisters and stops [server]. */
    fun removeServer(server: SoakServer) {
        store.remove(server.record.name)
        servers.remove(server.record.name.value)
        server.running?.stop()
    }

    private fun startRelay(listen: SocketAddress, target: SocketAddress): TcpRelay =
        startTcpRelay(listen, target).also { relays.add(it) }

    override fun close() {
        gateways.forEach { it.resume() }
        gateways.forEach { it.kill() }
        relays.forEach { it.close() }
        servers.values.forEach { it.running?.stop() }
        storeServer.stop()
    }
}

private fun createServerRecord(service: String, zone: String, number: Int, listen: SocketAddress) = ServerRecord(
    name = ServerName("$service-$number"),
    service = ServiceName(service),
    address = listen,
    zone = ZoneName(zone),
    slots = SLOTS,
    isDraining = false,
    startedAtUnixMs = System.currentTimeMillis(),
    coldRemainingMs = 0,
)

private fun createRoute(prefix: String, service: String, isIdempotent: Boolean) = Route(
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
