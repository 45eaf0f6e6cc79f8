/*
 * Puts the parts of a gateway process together, and ends it so that no request is cut off.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.put
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.forward.course.CourseTools
import org.cardamomwharf.forward.course.GuardedSteering
import org.cardamomwharf.forward.course.forwardingHandler
import org.cardamomwharf.forward.front.FrontListener
import org.cardamomwharf.forward.front.FrontSettings
import org.cardamomwharf.forward.front.frontServerOf
import org.cardamomwharf.forward.front.startFrontThreads
import org.cardamomwharf.forward.server.ServerPoolSettings
import org.cardamomwharf.forward.server.startServerPool
import org.cardamomwharf.gateway.directory.directoryHandler
import org.cardamomwharf.gateway.directory.readyHandler
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.gateway.peers.KnownVersions
import org.cardamomwharf.gateway.peers.PeerHeartbeats
import org.cardamomwharf.gateway.peers.PeerState
import org.cardamomwharf.gateway.peers.askPeerState
import org.cardamomwharf.gateway.peers.peerStateHandler
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.gateway.settings.readGatewaySettings
import org.cardamomwharf.gateway.store.StateWatch
import org.cardamomwharf.http.HttpCallerSettings
import org.cardamomwharf.http.startJettyCaller
import org.cardamomwharf.platform.platformStore
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.belief.DeploymentStore
import org.cardamomwharf.steering.instances.InstanceBook
import org.cardamomwharf.steering.instances.InstanceRecord
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val CALLERS = "callers"
private const val READY = "ready"
private const val DIRECTORY = "directory"
private const val METRICS = "metrics"
private const val PEERS = "peers"

/** Silence after which an instance counts as gone; below the users' seven seconds with the way of the news. */
private const val SILENCE_MS = 4_000L

/** Pause between adjustments of what is lent, and looks at idle connections. */
private const val TICK_MS = 200L

/** Part of the time to stop for which new requests are still taken; callers keep addresses for some seconds. */
private const val TAKING_SHARE = 0.5

/** Part of the time to stop after which the process ends whatever is open. */
private const val ENDING_SHARE = 0.9

private const val LOOK_MS = 20L

/** Ticks between log lines about the state of the process: five seconds. */
private const val TICKS_PER_STATE = 25
private const val BYTES_PER_KB = 1_024

/** Pause before the instances are read or registered again after a failure. */
private const val REGISTER_RETRY_MS = 500L

/** Represents a running gateway process. */
internal class GatewayProcess(private val settings: GatewaySettings) {
    private val clock = monotonicClock()
    private val log = DecisionLog(clock)
    private val metrics = GatewayMetrics()
    private val place = settings.toPlace()
    private val terms = settings.toTerms()
    private val steering = GuardedSteering(Steering(place, terms), clock)
    private val own = InstanceRecord(
        settings.instance,
        settings.zone,
        settings.addresses.caller,
        SocketAddress(settings.addresses.host, settings.peerPort),
    )
    private val book = InstanceBook(own, Incarnation(System.currentTimeMillis()), SILENCE_MS)
    private val heartbeats = PeerHeartbeats(own, place, book, clock, ::shareBudgets)
    private val caller = startJettyCaller(HttpCallerSettings("store", largestConnections = 8, largestThreads = 6))
    private val store = openStore()
    private val watch = StateWatch(store, steering, clock, log, terms.restoreGraceMs, ::limitCallers, ::askPeer)
    private val frontSettings = FrontSettings()
    private val threads = startFrontThreads(frontSettings)
    private val pool = startServerPool(ServerPoolSettings(), threads.executor, clock)
    private val tools = CourseTools(steering, pool, threads.scheduler, clock) { trace ->
        log.take(trace)
        metrics.take(trace)
    }
    private val front = frontServerOf(frontSettings, threads, listeners())

    @Volatile
    private var isStopping = false
    private var ticks = 0

    fun start() {
        watch.start()
        heartbeats.start()
        Thread(::meetInstances, "register").apply { isDaemon = true }.start()
        scheduleTick()
        front.start()
        log.event("start") {
            put("instance", settings.instance.value)
            put("zone", settings.zone.value)
        }
    }

    private fun listeners(): List<FrontListener> {
        val metricsAddress = SocketAddress(settings.addresses.host, settings.metricsPort)
        val directory = directoryHandler(place) { synchronized(book) { book.serving(clock.nowMs()) } }
        return listOf(
            FrontListener(CALLERS, settings.addresses.caller, forwardingHandler(tools)),
            FrontListener(READY, settings.addresses.ready, readyHandler(::isReady)),
            FrontListener(DIRECTORY, settings.addresses.directory, directory),
            FrontListener(PEERS, own.peerAddress, peerStateHandler(watch::stateAfter)),
            FrontListener(METRICS, metricsAddress, metrics.handler(::refresh)),
        )
    }

    private fun openStore(): DeploymentStore {
        return platformStore(caller, settings.addresses.store) { table, key ->
            metrics.countUnreadable(table)
            log.event("unreadable-row") {
                put("table", table)
                put("key", key)
            }
        }
    }

    private fun askPeer(known: KnownVersions): PeerState? =
        heartbeats.anyPeer()?.let { askPeerState(caller, it.peerAddress, known) }

    private fun isReady(): Boolean = !isStopping && watch.isKnown

    private fun shareBudgets() {
        val live = synchronized(book) { book.running(clock.nowMs()) }.mapTo(HashSet()) { it.name }
        steering.decide { decisions, _ -> decisions.shareWith(live) }
    }

    private fun limitCallers(idleMs: Long) {
        front.limitIdle(CALLERS, idleMs)
    }

    private fun scheduleTick() {
        threads.scheduler.schedule(
            {
                steering.decide { decisions, nowMs -> decisions.tick(nowMs) }
                watch.expire()
                pool.closeExpired()
                if (++ticks % TICKS_PER_STATE == 0) logState()
                scheduleTick()
            },
            TICK_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun logState() = log.event("state") {
        val runtime = Runtime.getRuntime()
        put("heapUsedKb", (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KB)
        put("underWay", underWay())
        put("connections", pool.openConnections)
        put("opened", pool.opened.get())
        put("instances", synchronized(book) { book.running(clock.nowMs()) }.size)
    }

    /** Reads which instances registered, and registers this one when it isn't listed as it is. */
    private fun meetInstances() {
        while (true) {
            val reading = store.instances.read().getOrElse { null }
            if (reading != null) {
                heartbeats.introduce(reading.entries.mapNotNull { it.value })
                val isListed = reading.entries.any { it.value == own }
                if (isListed || store.register(own).isOk) return
            }
            Thread.sleep(REGISTER_RETRY_MS)
        }
    }

    private fun refresh(set: (String, Double) -> Unit) {
        set("requests_under_way", tools.requestsUnderWay.toDouble())
        set("connections_to_servers", pool.openConnections.toDouble())
        set("connections_opened", pool.opened.get().toDouble())
        set("desired_version", steering.decide { decisions, _ -> decisions.desired?.version?.value ?: 0 }.toDouble())
        set("instances", synchronized(book) { book.running(clock.nowMs()) }.size.toDouble())
    }

    /** Reads the settings in [file] again and says what would change; they hold from the next start. */
    fun reload(file: Path) {
        val next = readGatewaySettings(file)
        log.event("reload") {
            put("valid", next.isOk)
            put("changed", next.getOrElse { null }?.let { it != settings })
        }
    }

    /** Ends the process: tells everybody, takes requests for a while, and finishes what is under way. */
    fun stop() {
        val startedAtMs = clock.nowMs()
        log.event("stop") { put("underWay", underWay()) }
        isStopping = true
        tools.isStopping = true
        heartbeats.announceLeaving()
        waitUntil(startedAtMs + (settings.bounds.stopMs * TAKING_SHARE).toLong()) { false }
        front.closeListener(CALLERS)
        front.closeIdle(CALLERS)
        waitUntil(startedAtMs + (settings.bounds.stopMs * ENDING_SHARE).toLong()) { underWay() == 0 }
        Thread.sleep(LOOK_MS)
        log.event("stopped") {
            put("underWay", underWay())
            put("tookMs", clock.nowMs() - startedAtMs)
        }
    }

    private fun underWay(): Int = tools.requestsUnderWay

    private fun waitUntil(endMs: Long, isDone: () -> Boolean) {
        while (!isDone() && clock.nowMs() < endMs) Thread.sleep(LOOK_MS)
    }
}
