/*
 * A small test deployment: platform and backend servers run in this process, entry instances as separate processes.
 */
package org.cardamomwharf.dist.support

import com.github.michaelbull.result.getOrThrow
import io.kotest.matchers.shouldBe
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.cardamomwharf.cli.Environments
import org.cardamomwharf.cli.OperatorAction
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.document.parseDocument
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.JettyServer
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.load.CallerStandin
import org.cardamomwharf.load.LoadPlan
import org.cardamomwharf.load.LoadResult
import org.cardamomwharf.load.LoadRun
import org.cardamomwharf.load.LookupCache
import org.cardamomwharf.load.RequestKind
import org.cardamomwharf.load.ServiceLoadPlan
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.EnvironmentHeads
import org.cardamomwharf.repository.EnvironmentName
import org.cardamomwharf.repository.PlatformInstance
import org.cardamomwharf.repository.PlatformRole
import org.cardamomwharf.repository.httpObjectStore
import org.cardamomwharf.repository.httpTableService
import org.cardamomwharf.standin.PlatformFaults
import org.cardamomwharf.standin.PlatformStandin
import org.cardamomwharf.standin.ServerBehaviour
import org.cardamomwharf.standin.ServerFaults
import org.cardamomwharf.standin.ServerStandin
import org.cardamomwharf.standin.network.TcpRelay
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture

private const val PLATFORM = "127.0.3.250:7000"
private const val CALL_TIMEOUT_MS = 5_000L
private const val POLL_MS = 100L
private const val SLOW_SERVICE_MS = 30_000L
private const val MAX_POLLS = 400

/** A service without servers whose requests have a long expected service time. */
const val SLOW_SERVICE: String = "katalog"

class Deployment(
    private val zones: List<String> = listOf("mazowsze-a"),
    private val isRelayed: Boolean = false,
) : AutoCloseable {
    val client = startJettyHttpClient(HttpClientSettings("test"))
    val platform = PlatformStandin()
    val servers = linkedMapOf<String, ServerStandin>()
    val entries = mutableListOf<EntryProcess>()
    val serverRelays = linkedMapOf<String, TcpRelay>()
    val entryConnections = linkedMapOf<String, EntryConnections>()
    private val folder: Path = Files.createTempDirectory("wharf-test")
    private val platformAddress = requireNotNull(SocketAddress.parse(PLATFORM))
    private val running = mutableListOf<JettyServer>()
    private var attempts = 0
    val heads = EnvironmentHeads(httpTableService(client, platformAddress, CALL_TIMEOUT_MS))
    val environments = Environments(heads, DocumentArchive(httpObjectStore(client, platformAddress, CALL_TIMEOUT_MS)))

    fun document(policy: Policy = Policy(slowStartMs = 0, leaveGraceMs = 1_000)): EnvironmentDocument {
        val text = Files.readString(Path.of("../examples/wisla/document.yaml"))
        val parsed = parseDocument(text).getOrThrow { IllegalStateException(it.toString()) }
        val services = parsed.services.map { it.copy(cacheTtlMs = 500) }
            .map { if (it.name.value == SLOW_SERVICE) it.copy(expectedServiceMs = SLOW_SERVICE_MS) else it }
        return parsed.copy(policy = policy, services = services)
    }

    fun startPlatform() {
        running += platform.start(platformAddress)
    }

    fun start(entriesPerZone: Int = 2) {
        startPlatform()
        zones.forEach(::startServers)
        environments.submit(document(), null, createAction()).getOrThrow { IllegalStateException(it.text) }
        environments.promote(
            DocumentVersion(1),
            DocumentVersion.NONE,
            createAction()
        ).getOrThrow { IllegalStateException(it.text) }
        for (zone in zones) repeat(entriesPerZone) { addEntry(zone) }
        awaitReady()
    }

    /** The relays between the entry instances and the platform. */
    val platformRelays: List<TcpRelay> get() = entryConnections.values.mapNotNull { it.platformRelay }

    fun createAction(): OperatorAction = OperatorAction("tester", AttemptId("test-${attempts++}"), 0)

    private fun startServers(zone: String) {
        for (service in listOf("stan", "zapis")) {
            repeat(2) { number ->
                val name = "$service-$zone-$number"
                val address = "127.0.3.${100 + servers.size}:9000"
                val standin = ServerStandin(ServerBehaviour(name, slots = 8, serviceMs = 5))
                running += standin.start(requireNotNull(SocketAddress.parse(address)))
                servers[name] = standin
                addToPlatformList(
                    PlatformInstance(
                        name,
                        PlatformRole.SERVER,
                        zone,
                        getServerAddress(name, address),
                        service = service,
                    ),
                )
            }
        }
    }

    /** Returns the address at which instances reach the server at [address], through a relay if [isRelayed]. */
    private fun getServerAddress(server: String, address: String): String {
        if (!isRelayed) return address
        val listen = address.replace(":9000", ":9010")
        serverRelays[server] = startRelay(listen, address)
        return listen
    }

    fun addToPlatformList(instance: PlatformInstance) {
        platform.addInstances(Json.encodeToString(listOf(instance)))
    }

    fun addEntry(zone: String): EntryProcess {
        val number = entries.size + 1
        val host = "127.0.3.$number"
        val connections =
            if (isRelayed) createRelayedConnections(host, PLATFORM) else createDirectConnections(host, PLATFORM)
        val entry = EntryProcess("entry-$number", zone, number, folder, connections)
        entryConnections[entry.name] = connections
        addToPlatformList(
            PlatformInstance(
                entry.name,
                PlatformRole.ENTRY,
                zone,
                entry.callerAddress,
                connections.advertisedPeer,
            ),
        )
        entry.start()
        entries += entry
        return entry
    }

    fun awaitReady(instances: List<EntryProcess> = entries) {
        eventually("all entries ready") {
            instances.all { get("http://${it.adminAddress}/ready")?.status == 200 }
        }
        eventually("all servers owned") {
            instances.flatMap { ownedServers(it) }.size == servers.size
        }
        eventually("all entries listed") { instances.all { isZoneListed(it, instances) } }
    }

    private fun isZoneListed(entry: EntryProcess, instances: List<EntryProcess>): Boolean {
        val response = get("http://${entry.callerAddress}/lookup?service=stan&client=127.10.0.1") ?: return false
        val text = response.body.decodeToString()
        return instances.filter { it.zone == entry.zone }.all { "\"${it.name}\"" in text }
    }

    private fun ownedServers(entry: EntryProcess): List<String> {
        val status = get("http://${entry.adminAddress}/status") ?: return emptyList()
        val servers = Json.parseToJsonElement(status.body.decodeToString()).jsonObject.getValue("servers")
        return (servers as JsonArray)
            .filter { it.jsonObject.getValue("isOwned").jsonPrimitive.content == "true" }
            .map { it.jsonObject.getValue("server").jsonPrimitive.content }
    }

    fun getDocumentVersion(entry: EntryProcess): Int? {
        val status = get("http://${entry.adminAddress}/status") ?: return null
        return Json.parseToJsonElement(status.body.decodeToString())
            .jsonObject.getValue("documentVersion").jsonPrimitive.content.toInt()
    }

    fun get(url: String, vararg fields: HttpField): HttpResponse? = send("GET", url, "", fields.toList())

    fun post(url: String, body: String, vararg fields: HttpField): HttpResponse? =
        send("POST", url, body, fields.toList())

    private fun send(method: String, url: String, body: String, fields: List<HttpField>): HttpResponse? {
        val result = client.call(HttpCall(method, url, fields, body.toByteArray(), CALL_TIMEOUT_MS))
        return (result as? HttpResult.Completed)?.response
    }

    /** Runs [action] during a load of reads and bookings and returns the result of the load. */
    fun runLoad(seed: Long, seconds: Int, action: () -> Unit): LoadResult {
        val plan = LoadPlan(
            entries = entries.map { it.callerAddress },
            clients = (1..4).map { "127.10.0.$it" },
            services = listOf(
                ServiceLoadPlan("stan", RequestKind.READ, 60),
                ServiceLoadPlan("zapis", RequestKind.BOOKING, 40),
            ),
            durationMs = seconds * 1_000L,
            deadlineMs = 4_000,
            seed = seed,
        )
        val clock = monotonicClock()
        val lookups = LookupCache(client, clock, plan.entries)
        val run = LoadRun(plan, CallerStandin(client, lookups, clock, plan.deadlineMs), clock)
        val result = CompletableFuture.supplyAsync { run.run() }
        action()
        return result.get()
    }

    /** Checks that all responses were complete and that no idempotency key ran twice. */
    fun checkInvariants(result: LoadResult) {
        result.wrongResponses shouldBe emptyList()
        result.services.sumOf { it.wrongResponses } shouldBe 0
        val runs = servers.values.flatMap { it.counts.countRunsByKey().entries }.groupBy({ it.key }, { it.value })
        runs.filterValues { it.sum() > 1 } shouldBe emptyMap()
    }

    fun setFaults(faults: PlatformFaults) {
        platform.changeFaults(faults)
    }

    fun setFaults(server: String, faults: ServerFaults) {
        servers.getValue(server).changeFaults(faults)
    }

    fun heads(environment: EnvironmentName) = heads.find(environment)

    override fun close() {
        entries.forEach { it.resume() }
        entries.forEach { it.kill() }
        entryConnections.values.forEach { it.close() }
        serverRelays.values.forEach { it.close() }
        running.forEach { it.stop() }
        client.close()
        folder.toFile().deleteRecursively()
    }
}

/** Waits until [condition] holds; fails after a time far longer than any passing run takes. */
fun eventually(what: String, condition: () -> Boolean) {
    repeat(MAX_POLLS) {
        if (condition()) return
        Thread.sleep(POLL_MS)
    }
    error("condition did not hold in time: $what")
}
