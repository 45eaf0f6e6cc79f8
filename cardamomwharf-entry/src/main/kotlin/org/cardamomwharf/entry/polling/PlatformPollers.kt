/*
 * What an entry process asks the platform and its backend servers about: the head of the environment, the instance list
 * and the load of the servers that it owns.
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
import org.cardamomwharf.entry.loop.EventRing
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

/** Represents whom the pollers ask. */
public class PolledParts(
    public val heads: EnvironmentHeads,
    public val list: InstanceList,
    public val servers: HttpClient,
)

/** Represents the pollers of an entry process. */
public class PlatformPollers(
    private val settings: EntrySettings,
    private val parts: PolledParts,
    private val loop: DecisionLoop,
    private val ring: EventRing,
) {
    /** Starts all pollers. */
    public fun start() {
        startPoller("heads", settings.times.headPollMs, ::readHead)
        startPoller("list", settings.times.listPollMs, ::readList)
        startPoller("loads", settings.times.loadPollMs, ::readLoads)
    }

    private fun readHead() {
        val newest = parts.heads.find(settings.environment).get()?.newest ?: return
        ring.put(EntryEvent.HeadRead(DocumentHead(newest.version, newest.hash, newest.capEpoch)))
    }

    private fun readList() {
        parts.list.read().onSuccess { instances ->
            ring.put(EntryEvent.PlatformListRead(instances.mapNotNull(::entryOf), instances.mapNotNull(::serverOf)))
        }
    }

    private fun entryOf(instance: PlatformInstance): ListedInstance? {
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

    private fun serverOf(instance: PlatformInstance): ListedServer? {
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

    private fun readLoads() {
        val state = loop.snapshot.state
        state.ownership.servers.mapNotNull { state.servers.servers[it] }.forEach(::readLoad)
    }

    private fun readLoad(server: ServerState) {
        val url = "http://${server.listed.address}$LOAD_PATH"
        parts.servers.start(HttpCall("GET", url, timeoutMs = settings.times.loadPollMs)) { end ->
            if (end is HttpResult.Completed) report(server.name, end.response)
        }
    }

    private fun report(server: ServerName, answer: HttpResponse) {
        if (answer.status != StatusCode.OK) return
        try {
            val load = json.decodeFromString<LoadReport>(answer.body.decodeToString())
            ring.put(EntryEvent.LoadReported(server, load))
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            return
        }
    }
}
