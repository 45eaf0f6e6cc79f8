/*
 * Wires the components of an entry process and shuts them down in order.
 */
package org.cardamomwharf.entry

import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.entry.admin.AdminApi
import org.cardamomwharf.entry.claims.ClaimClient
import org.cardamomwharf.entry.claims.ClaimExpirer
import org.cardamomwharf.entry.claims.ClaimThreads
import org.cardamomwharf.entry.claims.ClaimWorkers
import org.cardamomwharf.entry.documents.DocumentManager
import org.cardamomwharf.entry.forwarding.Forwarder
import org.cardamomwharf.entry.forwarding.ServerHttpClients
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EffectHandlers
import org.cardamomwharf.entry.loop.EffectRouter
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.peers.EntryPeerHandler
import org.cardamomwharf.entry.peers.HandOverResultHandler
import org.cardamomwharf.entry.peers.IncomingHandOvers
import org.cardamomwharf.entry.peers.LoanReplySenders
import org.cardamomwharf.entry.peers.OutgoingHandOvers
import org.cardamomwharf.entry.peers.PeerSender
import org.cardamomwharf.entry.polling.PlatformPollers
import org.cardamomwharf.entry.polling.PollingClients
import org.cardamomwharf.entry.requests.CallerApi
import org.cardamomwharf.entry.requests.CallerApiContext
import org.cardamomwharf.entry.requests.RequestRegistry
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
private const val FINAL_WRITE_POLL_MS = 100L
private const val FINAL_WRITE_TIMEOUT_MS = 5_000L

/** Time for the responses that are being written when the time to exit has passed. */
private const val MIN_RESPONSE_WRITE_MS = 1_000L
private val log = ComponentLog("entry")

/** Represents an entry process. */
public class EntryProcess internal constructor(private val settings: EntrySettings) {
    private val clock = monotonicClock()
    private val eventQueue = EventQueue()
    private val metrics = EntryMetrics()
    private val requestRegistry = RequestRegistry()
    private val platformClient = startJettyHttpClient(HttpClientSettings("platform"))
    private val tableService =
        httpTableService(platformClient, settings.addresses.platform, settings.times.platformTimeoutMs)
    private val objectStore =
        httpObjectStore(platformClient, settings.addresses.platform, settings.times.platformTimeoutMs)
    private val documentManager = DocumentManager(DocumentArchive(objectStore), eventQueue)
    private val serverClients = ServerHttpClients(
        pooled = startJettyHttpClient(HttpClientSettings("servers")),
        unpooled = startJettyHttpClient(HttpClientSettings("servers-new", isConnectionReused = false)),
        loadReports = startJettyHttpClient(HttpClientSettings("servers-reports")),
    )
    private val member = Member(
        settings.name,
        Incarnation(System.currentTimeMillis()),
        settings.zone,
        settings.addresses.caller,
        settings.addresses.advertisedPeer,
    )
    private val decisionLoop = DecisionLoop(
        newEntryState(member, settings.membership, settings.limits, clock.nowMs()),
        eventQueue,
        clock,
        settings.times,
    )
    private val claimWorkers = ClaimWorkers(ClaimClient(ClaimTable(tableService)), eventQueue)
    private val claimExpirer = ClaimExpirer(ClaimTable(tableService), eventQueue, metrics)
    private val loanReplySenders = LoanReplySenders()
    private val outgoingHandOvers = OutgoingHandOvers()
    private val forwarder = Forwarder(serverClients, requestRegistry, eventQueue, clock)
    private val peerNode: PeerNode = createPeerNode()
    private val peerSender = PeerSender(peerNode, requestRegistry, outgoingHandOvers, eventQueue, clock, metrics)
    private val admin = startAdminServer()
    private var callerServer: JettyServer? = null
    private var isStopped = false

    private fun createPeerNode(): PeerNode {
        val incomingHandOvers = IncomingHandOvers(requestRegistry, eventQueue, clock)
        val handler = EntryPeerHandler(
            eventQueue,
            HandOverResultHandler(eventQueue, requestRegistry, outgoingHandOvers),
            incomingHandOvers,
            documentManager,
            loanReplySenders,
        ) { peerSender.requestBlocks(it) }
        return startPeerNode(settings.addresses.peer, PeerSettings(), clock, handler)
    }

    private fun startAdminServer(): JettyServer {
        val api = AdminApi(decisionLoop, eventQueue, documentManager, metrics, clock)
        val server = HttpServerSettings(settings.addresses.admin, maxThreads = ADMIN_THREADS)
        return startJettyServer(server, handler = api.handler)
    }

    /** Starts the process, unless it was stopped before. */
    @Synchronized
    internal fun start() {
        if (isStopped) return
        documentManager.start()
        claimWorkers.start()
        claimExpirer.start()
        val handlers = EffectHandlers(
            requestRegistry,
            forwarder,
            peerSender,
            ClaimThreads(claimWorkers, claimExpirer),
            documentManager,
            loanReplySenders,
        )
        decisionLoop.start(EffectRouter(handlers, metrics))
        val instanceList =
            httpInstanceList(platformClient, settings.addresses.platform, settings.times.platformTimeoutMs)
        val clients = PollingClients(EnvironmentHeads(tableService), instanceList, serverClients.loadReports)
        PlatformPollers(settings, clients, decisionLoop, eventQueue).start()
        callerServer = startCallerServer()
        log.info("${settings.name.value} listens on ${settings.addresses.caller} in ${settings.zone.value}.")
    }

    private fun startCallerServer(): JettyServer {
        val context = CallerApiContext(clock, metrics)
        val api = CallerApi(settings, decisionLoop, eventQueue, requestRegistry, documentManager, context)
        val server = HttpServerSettings(settings.addresses.caller, maxThreads = CALLER_THREADS)
        return startJettyServer(server, onRefusal = metrics::countRefusal, handler = api.handler)
    }

    /** Shuts down gracefully: completes open requests, writes pending final claim states and stops all components. */
    public fun stop() {
        endStart()?.let { leave(it) }
        admin.stop()
        peerNode.close()
        decisionLoop.stop()
    }

    /** Waits for a start that has begun and prevents a later one; returns the server for callers if it was started. */
    @Synchronized
    private fun endStart(): JettyServer? {
        isStopped = true
        return callerServer
    }

    private fun leave(server: JettyServer) {
        log.info("${settings.name.value} is leaving.")
        val deadlineMs = clock.nowMs() + settings.times.exitTimeoutMs
        eventQueue.put(EntryEvent.LeaveRequested)
        server.disableKeepAlive()
        val isComplete = decisionLoop.awaitExit(settings.times.exitTimeoutMs)
        awaitFinalWrites()
        server.stop((deadlineMs - clock.nowMs()).coerceAtLeast(MIN_RESPONSE_WRITE_MS))
        log.info("${settings.name.value} has left${if (isComplete) "" else " with open requests"}.")
    }

    /** Waits until the decision logic requests the exit of the process. */
    public fun awaitExit() {
        decisionLoop.awaitExit(Long.MAX_VALUE)
    }

    private fun awaitFinalWrites() {
        val deadlineMs = clock.nowMs() + FINAL_WRITE_TIMEOUT_MS
        while (claimWorkers.pendingFinalWriteCount > 0 && clock.nowMs() < deadlineMs) Thread.sleep(FINAL_WRITE_POLL_MS)
    }
}
