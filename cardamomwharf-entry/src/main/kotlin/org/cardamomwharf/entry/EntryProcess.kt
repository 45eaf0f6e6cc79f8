/*
 * Puts the parts of an entry process together and stops them in order.
 */
package org.cardamomwharf.entry

import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.entry.admin.AdminApi
import org.cardamomwharf.entry.claims.ClaimExpirer
import org.cardamomwharf.entry.claims.ClaimKeeper
import org.cardamomwharf.entry.claims.ClaimThreads
import org.cardamomwharf.entry.claims.ClaimWorkers
import org.cardamomwharf.entry.documents.DocumentKeeper
import org.cardamomwharf.entry.forwarding.Forwarder
import org.cardamomwharf.entry.forwarding.ServerCallers
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EffectParts
import org.cardamomwharf.entry.loop.EffectRouter
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.peers.EntryPeerHandler
import org.cardamomwharf.entry.peers.HandOverDesk
import org.cardamomwharf.entry.peers.HandOverResults
import org.cardamomwharf.entry.peers.HandedAttempts
import org.cardamomwharf.entry.peers.LoanBook
import org.cardamomwharf.entry.peers.PeerSender
import org.cardamomwharf.entry.polling.PlatformPollers
import org.cardamomwharf.entry.polling.PolledParts
import org.cardamomwharf.entry.requests.CallerApi
import org.cardamomwharf.entry.requests.CallerTools
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.entry.settings.EntrySettings
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpServerSettings
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.http.startJettyServer
import org.cardamomwharf.logging.ComponentLog
import org.cardamomwharf.peer.PeerNode
import org.cardamomwharf.peer.PeerSettings
import org.cardamomwharf.peer.startPeerNode
import org.cardamomwharf.repository.ClaimTable
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.EnvironmentHeads
import org.cardamomwharf.repository.httpInstanceList
import org.cardamomwharf.repository.httpObjectStore
import org.cardamomwharf.repository.httpTableService

private const val CALLER_THREADS = 512
private const val ADMIN_THREADS = 16
private const val SETTLE_POLL_MS = 100L
private const val SETTLE_LIMIT_MS = 5_000L
private val log = ComponentLog("entry")

/** Represents a running entry process. */
public class EntryProcess internal constructor(private val settings: EntrySettings) {
    private val clock = monotonicClock()
    private val ring = EventRing()
    private val metrics = EntryMetrics()
    private val book = RequestBook()
    private val platformCaller = startJettyHttpClient(HttpClientSettings("platform"))
    private val tables =
        httpTableService(platformCaller, settings.addresses.platform, settings.times.platformLimitMs)
    private val objects =
        httpObjectStore(platformCaller, settings.addresses.platform, settings.times.platformLimitMs)
    private val keeper = DocumentKeeper(DocumentArchive(objects), ring)
    private val callers = ServerCallers(
        kept = startJettyHttpClient(HttpClientSettings("servers")),
        fresh = startJettyHttpClient(HttpClientSettings("servers-new", isConnectionReused = false)),
        reports = startJettyHttpClient(HttpClientSettings("servers-reports")),
    )
    private val member = Member(
        settings.name,
        Incarnation(System.currentTimeMillis()),
        settings.zone,
        settings.addresses.caller,
        settings.addresses.advertisedPeer,
    )
    private val loop = DecisionLoop(
        newEntryState(member, settings.membership, settings.limits, clock.nowMs()),
        ring,
        clock,
        settings.times,
    )
    private val claims = ClaimWorkers(ClaimKeeper(ClaimTable(tables)), ring)
    private val expirer = ClaimExpirer(ClaimTable(tables), ring, metrics)
    private val loans = LoanBook()
    private val handed = HandedAttempts()
    private val forwarder = Forwarder(callers, book, ring, clock)
    private val node: PeerNode = startPeers()
    private val peers = PeerSender(node, book, handed, ring, clock, metrics)
    private val admin = startAdmin()
    private var callerServer: JettyServer? = null

    private fun startPeers(): PeerNode {
        val desk = HandOverDesk(book, ring, clock)
        val handler =
            EntryPeerHandler(ring, HandOverResults(ring, book, handed), desk, keeper, loans) { peers.askBlocks(it) }
        return startPeerNode(settings.addresses.peer, PeerSettings(), clock, handler)
    }

    private fun startAdmin(): JettyServer {
        val api = AdminApi(loop, ring, keeper, metrics, clock)
        val server = HttpServerSettings(settings.addresses.admin, maxThreads = ADMIN_THREADS)
        return startJettyServer(server, handler = api.handler)
    }

    internal fun start() {
        keeper.start()
        claims.start()
        expirer.start()
        loop.start(
            EffectRouter(EffectParts(book, forwarder, peers, ClaimThreads(claims, expirer), keeper, loans), metrics)
        )
        val list =
            httpInstanceList(platformCaller, settings.addresses.platform, settings.times.platformLimitMs)
        PlatformPollers(settings, PolledParts(EnvironmentHeads(tables), list, callers.reports), loop, ring).start()
        callerServer = startCallerServer()
        log.info("${settings.name.value} listens on ${settings.addresses.caller} in ${settings.zone.value}.")
    }

    private fun startCallerServer(): JettyServer {
        val api = CallerApi(settings, loop, ring, book, keeper, CallerTools(clock, metrics))
        val server = HttpServerSettings(settings.addresses.caller, maxThreads = CALLER_THREADS)
        return startJettyServer(server, onRefusal = metrics::countRefusal, handler = api.handler)
    }

    /** Leaves gracefully: finishes what is open, writes the claims that are not settled, and stops all parts. */
    public fun stop() {
        log.info("${settings.name.value} is leaving.")
        ring.put(EntryEvent.LeaveRequested)
        callerServer?.disableKeepAlive()
        val isDone = loop.awaitExit(settings.times.exitLimitMs)
        awaitSettled()
        callerServer?.stop()
        admin.stop()
        node.close()
        log.info("${settings.name.value} has left${if (isDone) "" else " with open requests"}.")
    }

    /** Waits until the decisions ask to exit by themselves. */
    public fun awaitExit() {
        loop.awaitExit(Long.MAX_VALUE)
    }

    private fun awaitSettled() {
        val endMs = clock.nowMs() + SETTLE_LIMIT_MS
        while (claims.unsettled > 0 && clock.nowMs() < endMs) Thread.sleep(SETTLE_POLL_MS)
    }
}

/** Returns a started entry process. */
public fun startEntryProcess(settings: EntrySettings): EntryProcess =
    EntryProcess(settings).also { it.start() }
