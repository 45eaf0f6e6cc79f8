/*
 * A small deployment: stand-ins for the platform and the backend servers in this process, entry instances as processes.
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
private const val CALL_LIMIT_MS = 5_000L
private const val POLL_MS = 100L
private const val SLOW_MS = 30_000L
private const val LARGEST_POLLS = 400

/** A service that no server offers here and whose requests are expected to take long. */
const val SLOW_SERVICE: String = "katalog"

class Deployment(
    private val zones: List<String> = listOf("mazowsze-a"),
    private val isRelayed: Boolean = false,
) : AutoCloseable {
    val caller = startJettyHttpClient(HttpClientSettings("test"))
    val platform = PlatformStandin()
    val servers = linkedMapOf<String, ServerStandin>()
    val entries = mutableListOf<EntryProcessHandle>()
    val serverWires = linkedMapOf<String, TcpRelay>()
    val entryWires = linkedMapOf<String, EntryWires>()
    private val folder: Path = Files.createTempDirectory("wharf-test")
    private val platformAddress = requireNotNull(SocketAddress.parse(PLATFORM))
    private val running = mutableListOf<JettyServer>()
    private var attempts = 0
    val heads = EnvironmentHeads(httpTableService(caller, platformAddress, CALL_LIMIT_MS))
    val environments = Environments(heads, DocumentArchive(httpObjectStore(caller, platformAddress, CALL_LIMIT_MS)))

    fun document(policy: Policy = Policy(slowStartMs = 0, leaveGraceMs = 1_000)): EnvironmentDocument {
        val text = Files.readString(Path.of("../examples/wisla/document.yaml"))
        val whole = parseDocument(text).getOrThrow { IllegalStateException(it.toString()) }
        val services = whole.services.map { it.copy(cacheTtlMs = 500) }
            .map { if (it.name.value == SLOW_SERVICE) it.copy(expectedServiceMs = SLOW_MS) else it }
        return whole.copy(policy = policy, services = services)
    }

    fun startPlatform() {
        running += platform.start(platformAddress)
    }

    fun start(entriesPerZone: Int = 2) {
        startPlatform()
        zones.forEach(::startServers)
        environments.submit(document(), null, act()).getOrThrow { IllegalStateException(it.text) }
        environments.promote(
            DocumentVersion(1),
            DocumentVersion.NONE,
            act()
        ).getOrThrow { IllegalStateException(it.text) }
        for (zone in zones) repeat(entriesPerZone) { addEntry(zone) }
        awaitReady()
    }

    /** The ways of all entry instances to the platform. */
    val platformWires: List<TcpRelay> get() = entryWires.values.mapNotNull { it.platformRelay }

    fun act(): OperatorAction = OperatorAction("tester", AttemptId("test-${attempts++}"), 0)

    private fun startServers(zone: String) {
        for (service in listOf("stan", "zapis")) {
            repeat(2) { number ->
                val name = "$service-$zone-$number"
                val address = "127.0.3.${100 + servers.size}:9000"
                val standin = ServerStandin(ServerBehaviour(name, slots = 8, serviceMs = 5))
                running += standin.start(requireNotNull(SocketAddress.parse(address)))
                servers[name] = standin
                list(PlatformInstance(name, PlatformRole.SERVER, zone, wireTo(name, address), service = service))
            }
        }
    }

    /** Returns where instances reach the server at [address]. */
    private fun wireTo(server: String, address: String): String {
        if (!isRelayed) return address
        val listen = address.replace(":9000", ":9010")
        serverWires[server] = relay(listen, address)
        return listen
    }

    fun list(instance: PlatformInstance) {
        platform.addInstances(Json.encodeToString(listOf(instance)))
    }

    fun addEntry(zone: String): EntryProcessHandle {
        val number = entries.size + 1
        val host = "127.0.3.$number"
        val wires = if (isRelayed) relayedWires(host, PLATFORM) else straightWires(host, PLATFORM)
        val entry = EntryProcessHandle("entry-$number", zone, number, folder, wires)
        entryWires[entry.name] = wires
        list(PlatformInstance(entry.name, PlatformRole.ENTRY, zone, entry.callerAddress, wires.advertisedPeer))
        entry.start()
        entries += entry
        return entry
    }

    fun awaitReady(wanted: List<EntryProcessHandle> = entries) {
        eventually("all entries ready") {
            wanted.all { get("http://${it.adminAddress}/ready")?.status == 200 }
        }
        eventually("all servers owned") {
            wanted.flatMap { ownedServers(it) }.size == servers.size
        }
        eventually("all entries listed") { wanted.all { listsZone(it, wanted) } }
    }

    private fun listsZone(entry: EntryProcessHandle, wanted: List<EntryProcessHandle>): Boolean {
        val answer = get("http://${entry.callerAddress}/lookup?service=stan&client=127.10.0.1") ?: return false
        val text = answer.body.decodeToString()
        return wanted.filter { it.zone == entry.zone }.all { "\"${it.name}\"" in text }
    }

    private fun ownedServers(entry: EntryProcessHandle): List<String> {
        val status = get("http://${entry.adminAddress}/status") ?: return emptyList()
        val servers = Json.parseToJsonElement(status.body.decodeToString()).jsonObject.getValue("servers")
        return (servers as JsonArray)
            .filter { it.jsonObject.getValue("isOwned").jsonPrimitive.content == "true" }
            .map { it.jsonObject.getValue("server").jsonPrimitive.content }
    }

    fun version(entry: EntryProcessHandle): Int? {
        val status = get("http://${entry.adminAddress}/status") ?: return null
        return Json.parseToJsonElement(status.body.decodeToString())
            .jsonObject.getValue("documentVersion").jsonPrimitive.content.toInt()
    }

    fun get(url: String, vararg fields: HttpField): HttpResponse? = send("GET", url, "", fields.toList())

    fun post(url: String, body: String, vararg fields: HttpField): HttpResponse? =
        send("POST", url, body, fields.toList())

    private fun send(method: String, url: String, body: String, fields: List<HttpField>): HttpResponse? {
        val end = caller.call(HttpCall(method, url, fields, body.toByteArray(), CALL_LIMIT_MS))
        return (end as? HttpResult.Completed)?.response
    }

    /** Starts a load of reads and bookings on a thread of its own; the result comes when it has ended. */
    fun load(seed: Long, seconds: Int, act: () -> Unit): LoadResult {
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
        val lookups = LookupCache(caller, clock, plan.entries)
        val run = LoadRun(plan, CallerStandin(caller, lookups, clock, plan.deadlineMs), clock)
        val result = CompletableFuture.supplyAsync { run.run() }
        act()
        return result.get()
    }

    /** Checks what must hold after any load: whole answers, and no key that ran twice. */
    fun checkInvariants(result: LoadResult) {
        result.wrongResponses shouldBe emptyList()
        result.services.sumOf { it.wrongResponses } shouldBe 0
        val runs = servers.values.flatMap { it.counts.countRunsByKey().entries }.groupBy({ it.key }, { it.value })
        runs.filterValues { it.sum() > 1 } shouldBe emptyMap()
    }

    fun faults(faults: PlatformFaults) {
        platform.changeFaults(faults)
    }

    fun faults(server: String, faults: ServerFaults) {
        servers.getValue(server).changeFaults(faults)
    }

    fun heads(environment: EnvironmentName) = heads.find(environment)

    override fun close() {
        entries.forEach { it.thaw() }
        entries.forEach { it.kill() }
        entryWires.values.forEach { it.close() }
        serverWires.values.forEach { it.close() }
        running.forEach { it.stop() }
        caller.close()
        folder.toFile().deleteRecursively()
    }
}

/** Waits until [isTrue]; fails after a long time that no healthy run comes near. */
fun eventually(what: String, isTrue: () -> Boolean) {
    repeat(LARGEST_POLLS) {
        if (isTrue()) return
        Thread.sleep(POLL_MS)
    }
    error("never came true: $what")
}
