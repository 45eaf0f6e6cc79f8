/*
 * Assembles, starts and stops the components of a gateway process.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.put
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.forward.bodies.createBodyBudget
import org.cardamomwharf.forward.listener.AsyncHttpServerSettings
import org.cardamomwharf.forward.listener.HttpListener
import org.cardamomwharf.forward.listener.createAsyncHttpServer
import org.cardamomwharf.forward.listener.startHttpThreads
import org.cardamomwharf.forward.proxy.ForwardingContext
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.forward.proxy.createForwardingHandler
import org.cardamomwharf.forward.server.ConnectionPoolSettings
import org.cardamomwharf.forward.server.startConnectionPool
import org.cardamomwharf.gateway.directory.DirectoryScopeLog
import org.cardamomwharf.gateway.directory.createDirectoryHandler
import org.cardamomwharf.gateway.directory.createReadinessHandler
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.logs.KeyConfirmationLog
import org.cardamomwharf.gateway.logs.ServerReportLog
import org.cardamomwharf.gateway.logs.SpilloverLog
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.gateway.metrics.ProcessState
import org.cardamomwharf.gateway.peers.CrashExchange
import org.cardamomwharf.gateway.peers.InstanceRegistration
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerHeartbeats
import org.cardamomwharf.gateway.peers.PeerList
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.peers.TeamLimitExchange
import org.cardamomwharf.gateway.peers.createPeerStateHandler
import org.cardamomwharf.gateway.peers.fetchPeerState
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.gateway.settings.readGatewaySettings
import org.cardamomwharf.gateway.store.PeerClient
import org.cardamomwharf.gateway.store.PeerStateSync
import org.cardamomwharf.gateway.store.StoreListener
import org.cardamomwharf.gateway.store.StoreWatcher
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.platform.createPlatformStore
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry
import org.cardamomwharf.steering.store.DeploymentStore
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val CALLERS = "callers"
private const val READY = "ready"
private const val DIRECTORY = "directory"
private const val METRICS = "metrics"
private const val PEERS = "peers"

/** Silence after which an instance counts as failed; with propagation this stays below the required seven seconds. */
private const val SILENCE_TIMEOUT_MS = 4_000L

/** Interval of spillover adjustments and of checks for idle connections. */
private const val TICK_MS = 200L

/** Ticks between log lines with the process state: five seconds. */
private const val TICKS_PER_STATE_LOG = 25

/** Ticks between log lines about spillover: one second, half the window over which shifts are measured. */
private const val TICKS_PER_SPILLOVER_LOG = 5

/** Represents a running gateway process. */
internal class GatewayProcess(private val settings: GatewaySettings) : Daemon {
    private val clock = monotonicClock()
    private val log = DecisionLog(clock)
    private val taskContext = TaskContext(clock, log)
    private val metrics = GatewayMetrics()
    private val location = settings.toLocation()
    private val parameters = settings.toParameters()
    private val steering = SynchronizedSteering(Steering(location, parameters), clock)
    private val own = InstanceRecord(
        settings.instance,
        settings.zone,
        settings.addresses.caller,
        SocketAddress(settings.addresses.host, settings.peerPort),
    )
    private val registry = InstanceRegistry(own, Incarnation(System.currentTimeMillis()), SILENCE_TIMEOUT_MS)
    private val client = startJettyHttpClient(HttpClientSettings("store", maxConnections = 8, maxThreads = 6))
    private val peerStateSync: PeerStateSync = PeerStateSync(own, createPeerClient(), taskContext, ::updateLimitSharing)
    private val peers = PeerList(own, registry, clock)
    private val heartbeats: PeerHeartbeats =
        PeerHeartbeats(
            location,
            peers,
            taskContext,
            peerStateSync,
            CrashExchange(steering, log, metrics),
            TeamLimitExchange(steering, location.zone, log),
        )
    private val store = openStore()
    private val storeWatcher: StoreWatcher = StoreWatcher(
        store,
        steering,
        taskContext,
        parameters,
        peerStateSync,
        createStoreListener()
    )
    private val serverSettings = AsyncHttpServerSettings()
    private val threads = startHttpThreads(serverSettings)
    private val bodyBudget = createBodyBudget(Runtime.getRuntime().maxMemory(), settings.machine?.memoryMb)
    private val poolSettings = ConnectionPoolSettings()
    private val pool = startConnectionPool(poolSettings, threads.executor, clock, bodyBudget) { name, tookMs ->
        steering.withLock { decisions, _ ->
            decisions.servers.find(name)?.let { decisions.roundTripTimes.record(it, tookMs) }
        }
    }
    private val reportLog = ServerReportLog(log, metrics, heartbeats::notifyCrashes)
    private val forwarding = ForwardingContext(steering, pool, threads.scheduler, clock, reportLog) { trace ->
        log.record(trace)
        metrics.record(trace)
    }
    private val spilloverLog = SpilloverLog(steering, log)
    private val keyLog = KeyConfirmationLog(clock, log)
    private val state = ProcessState(forwarding, pool, steering, registry, clock)
    private val server = createAsyncHttpServer(serverSettings, threads, createListeners())
    private var ticks = 0

    /** Starts all components. After an error nothing is served, and the process has to exit. */
    override fun start(): Result<Unit, StartError> = try {
        peerStateSync.attach(storeWatcher)
        peerStateSync.start()
        storeWatcher.start()
        heartbeats.start()
        InstanceRegistration(store, own, peers, log) { storeWatcher.epoch }.start()
        scheduleTick()
        server.start()
        log.event("start") {
            put("instance", settings.instance.value)
            put("zone", settings.zone.value)
        }
        Ok(Unit)
    } catch (e: IOException) {
        log.event("start-failed") { put("error", e.toString()) }
        Err(StartError.BindFailed(e))
    }

    /** Validates the settings in [file] and logs whether they changed; changes take effect at the next start. */
    fun reload(file: Path) {
        val newSettings = readGatewaySettings(file)
        log.event("reload") {
            put("valid", newSettings.isOk)
            put("changed", newSettings.getOrElse { null }?.let { it != settings })
        }
    }

    /** Stops the process without interrupting requests. */
    override fun stop(signalledAtMs: Long) {
        GracefulStop(taskContext, forwarding, server, settings.bounds.stopMs)
            .run(CALLERS, signalledAtMs) { heartbeats.announceLeaving() }
    }

    private fun createListeners(): List<HttpListener> {
        val metricsAddress = SocketAddress(settings.addresses.host, settings.metricsPort)
        val scopeLog = DirectoryScopeLog(log, metrics)
        val directory = createDirectoryHandler(location, scopeLog) {
            synchronized(registry) { registry.serving(clock.nowMs()) }
        }
        return listOf(
            HttpListener(CALLERS, settings.addresses.caller, createForwardingHandler(forwarding)),
            HttpListener(
                READY,
                settings.addresses.ready,
                createReadinessHandler { !forwarding.isStopping && storeWatcher.isReady },
            ),
            HttpListener(DIRECTORY, settings.addresses.directory, directory),
            HttpListener(PEERS, own.peerAddress, createPeerStateHandler(storeWatcher::stateSince)),
            HttpListener(METRICS, metricsAddress, metrics.handler(state::read)),
        )
    }

    private fun openStore(): DeploymentStore = createPlatformStore(client, settings.addresses.store) { table, key ->
        metrics.countUnreadableRow(table)
        log.event("unreadable-row") {
            put("table", table)
            put("key", key)
        }
    }

    private fun createPeerClient() = object : PeerClient {
        override fun runningInstances(): List<InstanceRecord> = peers.running()

        override fun randomPeer(): InstanceRecord? = heartbeats.randomPeer()

        override fun fetchState(peer: InstanceRecord, known: KnownVersions): PeerState? =
            fetchPeerState(client, peer.peerAddress, known)
    }

    private fun updateLimitSharing() {
        val instances = peers.instancesSharingLimits() ?: return
        steering.withLock { decisions, nowMs ->
            decisions.setLiveInstances(instances.associate { it.name to it.zone }, nowMs)
        }
    }

    private fun createStoreListener() = object : StoreListener {
        override fun onCallerLimits(limits: CallerLimits) {
            server.setIdleTimeout(CALLERS, limits.idleTimeoutMs)
            server.setMaxHeadBytes(CALLERS, limits.largestHeadBytes)
        }

        override fun onChange() = heartbeats.notifyChange()
    }

    private fun scheduleTick() {
        threads.scheduler.schedule(::tick, TICK_MS, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        runOrLogFailure("tick", log) {
            steering.withLock { decisions, nowMs ->
                decisions.adjustSpillover(nowMs)
                keyLog.write(decisions.routes, decisions.callers.proof)
            }
            storeWatcher.expire()
            pool.closeExpired()
            if (++ticks % TICKS_PER_SPILLOVER_LOG == 0) spilloverLog.write()
            if (ticks % TICKS_PER_STATE_LOG == 0) {
                log.event("state") { state.read().forEach { (name, value) -> put(name, value) } }
            }
        }
        scheduleTick()
    }
}
