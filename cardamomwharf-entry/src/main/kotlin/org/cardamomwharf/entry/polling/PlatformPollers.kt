/*
 * Polls the head of the environment and the instance list from the platform, and the load of the owned backend servers
 * from the servers themselves.
 */
package org.cardamomwharf.entry.polling

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.servers.LoadReport
import org.cardamomwharf.decision.servers.ServerState
import org.cardamomwharf.entry.loop.DecisionLoop
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.entry.settings.EntrySettings
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.repository.EnvironmentHeads
import org.cardamomwharf.repository.InstanceList
import org.cardamomwharf.repository.PlatformInstance
import org.cardamomwharf.repository.PlatformRole

private const val LOAD_PATH = "/wharf/load"
private val json = Json { ignoreUnknownKeys = true }

/** Holds the clients that the pollers use. */
public class PollingClients(
    public val heads: EnvironmentHeads,
    public val instanceList: InstanceList,
    public val loadReports: HttpClient,
)

/** Polls the platform and the owned backend servers, and enqueues the results as events. */
public class PlatformPollers(
    private val settings: EntrySettings,
    private val clients: PollingClients,
    private val decisionLoop: DecisionLoop,
    private val eventQueue: EventQueue,
) {
    /** Starts all pollers. */
    public fun start() {
        startPoller("heads", settings.times.headPollIntervalMs, ::pollHead)
        startPoller("list", settings.times.listPollIntervalMs, ::pollInstanceList)
        startPoller("loads", settings.times.loadPollIntervalMs, ::pollLoads)
    }

    private fun pollHead() {
        val newest = clients.heads.find(settings.environment).get()?.newest ?: return
        eventQueue.put(EntryEvent.HeadRead(DocumentHead(newest.version, newest.hash, newest.capEpoch)))
    }

    private fun pollInstanceList() {
        clients.instanceList.read().onSuccess { instances ->
            val entries = instances.mapNotNull(::createListedInstance)
            val servers = instances.mapNotNull(::createListedServer)
            eventQueue.put(EntryEvent.PlatformListRead(entries, servers))
        }
    }

    private fun createListedInstance(instance: PlatformInstance): ListedInstance? {
        val caller = SocketAddress.parse(instance.address)
        val peer = SocketAddress.parse(instance.peerAddress)
        if (instance.role != PlatformRole.ENTRY || caller == null || peer == null) return null
        return ListedInstance(
            InstanceName(instance.name),
            ZoneName(instance.zone),
            caller,
            peer,
            instance.isLeaving,
        )
    }

    private fun createListedServer(instance: PlatformInstance): ListedServer? {
        val address = SocketAddress.parse(instance.address)
        if (instance.role != PlatformRole.SERVER || address == null) return null
        return ListedServer(
            ServerName(instance.name),
            ServiceName(instance.service),
            ZoneName(instance.zone),
            address,
            instance.isLeaving,
        )
    }

    private fun pollLoads() {
        val state = decisionLoop.snapshot.state
        state.ownership.servers.mapNotNull { state.servers.servers[it] }.forEach(::pollLoad)
    }

    private fun pollLoad(server: ServerState) {
        val url = "http://${server.listed.address}$LOAD_PATH"
        clients.loadReports.start(HttpCall("GET", url, timeoutMs = settings.times.loadPollIntervalMs)) { result ->
            if (result is HttpResult.Completed) reportLoad(server.name, result.response)
        }
    }

    private fun reportLoad(server: ServerName, response: HttpResponse) {
        if (response.status != StatusCode.OK) return
        try {
            val load = json.decodeFromString<LoadReport>(response.body.decodeToString())
            eventQueue.put(EntryEvent.LoadReported(server, load))
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            return
        }
    }
}
