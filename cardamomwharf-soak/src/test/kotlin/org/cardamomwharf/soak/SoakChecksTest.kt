/*
 * Each guarantee that the soak checks, violated on purpose, and the disturbances that exempt an instance.
 */
package org.cardamomwharf.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpFailure
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.platform.standin.BackendRun
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

class SoakChecksTest : FunSpec({
    fun call(id: String, status: Int, startedAtMs: Long = 10_000, isConnectionLost: Boolean = false) = CallRecord(
        id = id,
        instance = "i1",
        path = "/bookings/",
        isIdempotent = false,
        startedAtMs = startedAtMs,
        endedAtMs = startedAtMs + 100,
        status = status,
        hasCompleteResponse = true,
        isConnectionLost = isConnectionLost,
    )

    fun ran(id: String, atMs: Long = 10_010) = BackendRun(id, "/bookings/", atMs)

    fun findViolations(
        vararg calls: CallRecord,
        runs: List<BackendRun> = emptyList(),
        prepare: SoakRecord.() -> Unit = {},
    ) =
        SoakRecord().apply(prepare).also { it.calls.addAll(calls) }
            .let { checkRun(it, mapOf("s1" to runs), faultsEndedAtMs = 1_000_000) }
            .map { it.guarantee }

    test("`requests that ran as reported violate no guarantee`") {
        findViolations(call("a", 200), runs = listOf(ran("a"))).shouldBeEmpty()
        findViolations(call("b", 503)).shouldBeEmpty()
        findViolations(call("c", 502).copy(isIdempotent = true), runs = listOf(ran("c"))).shouldBeEmpty()
    }

    test("`a booking that ran twice and a refused request that ran are reported`") {
        findViolations(call("a", 200), runs = listOf(ran("a"), ran("a"))) shouldBe listOf("at most once")
        findViolations(call("b", 503), runs = listOf(ran("b"))) shouldBe listOf("a refusal means not run")
    }

    test("`a success with the response to another request is reported`") {
        val wrongResponse = call("a", 200).copy(hasCompleteResponse = false)
        findViolations(wrongResponse, runs = listOf(ran("a"))) shouldBe listOf("the whole own answer")
    }

    test("`a request to a server that left is reported unless the instance or the store was disturbed`") {
        val runs = listOf(ran("a", atMs = 20_000))
        val sent = call("a", 200, startedAtMs = 19_990)
        val leave = LeaveRecord("s1", 15_000)
        findViolations(sent, runs = runs) { leaves.add(leave) } shouldBe listOf("a leaving server gets nothing")
        findViolations(sent, runs = runs) {
            leaves.add(leave)
            disturbances.add(Disturbance("i1", SoakRecord.PROCESS, 18_000, 19_000))
        }.shouldBeEmpty()
        findViolations(sent, runs = runs) {
            leaves.add(leave)
            disturbances.add(Disturbance(SoakRecord.STORE, "slow", 12_000, 14_000))
        }.shouldBeEmpty()
        findViolations(sent, runs = listOf(ran("a", atMs = 17_000))) { leaves.add(leave) }.shouldBeEmpty()
    }

    test("`a stop that interrupts a request or takes too long is reported unless the process was killed`") {
        val cut = call("a", 0, isConnectionLost = true)
        val runs = listOf(ran("a"))
        findViolations(cut, runs = runs) { stops.add(StopRecord("i1", 9_000, 12_000)) } shouldBe
            listOf("a planned stop cuts nothing off")
        findViolations(cut, runs = runs) {
            stops.add(StopRecord("i1", 9_000, 12_000))
            disturbances.add(Disturbance("i1", SoakRecord.PROCESS, 10_000, 10_300))
        }.shouldBeEmpty()
        findViolations { stops.add(StopRecord("i1", 0, 7_000)) } shouldBe listOf("a planned stop ends in time")
    }

    test("`a request that ran and got no answer is reported outside stops unless the process was killed`") {
        val cut = call("a", 0, isConnectionLost = true)
        val runs = listOf(ran("a"))
        findViolations(cut, runs = runs) { stops.add(StopRecord("i1", 4_000, 9_000)) } shouldBe
            listOf("a request that ran is answered")
        findViolations(cut, runs = runs) {
            disturbances.add(Disturbance("i1", SoakRecord.PROCESS, 10_000, 10_300))
        }.shouldBeEmpty()
        findViolations(cut).shouldBeEmpty()
    }

    test("`a booking that ended with 502 is reported unless its server or the process was disturbed`") {
        val failed = call("a", 502)
        val runs = listOf(ran("a"))
        findViolations(failed, runs = runs) shouldBe listOf("a sound server's answer arrives")
        findViolations(failed, runs = runs) {
            serverDisturbances.add(Disturbance("s2", "reset", 9_000, 10_020))
            disturbances.add(Disturbance("i2", SoakRecord.PROCESS, 9_000, 10_020))
        } shouldBe listOf("a sound server's answer arrives")
        findViolations(failed, runs = runs) {
            serverDisturbances.add(Disturbance("s1", "reset", 9_000, 10_020))
        }.shouldBeEmpty()
        findViolations(failed, runs = runs) {
            disturbances.add(Disturbance("i1", SoakRecord.PROCESS, 9_000, 9_500))
        }.shouldBeEmpty()
        findViolations(failed).shouldBeEmpty()
        findViolations(call("b", 504), runs = listOf(ran("b"))).shouldBeEmpty()
    }

    test("`a booking with 502 that two servers ran is reported once, as run twice`") {
        findViolations(call("a", 502), runs = listOf(ran("a"), ran("a"))) shouldBe listOf("at most once")
    }

    test("`an exit that no signal asked for is reported`") {
        findViolations { unexpectedExits.add("i1 exited with 129") } shouldBe
            listOf("an instance runs until it is stopped")
    }

    test("`a kept connection tells a closed connection from a late response`") {
        fun callAnswered(response: String, isClosed: Boolean = true): Pair<HttpResult, Boolean> =
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val connection = KeptConnection(Socket(server.inetAddress, server.localPort))
                val accepted = server.accept()
                accepted.getOutputStream().write(response.toByteArray())
                if (isClosed) accepted.shutdownOutput()
                val result = connection.call(HttpCall("GET", "http://gateway/a", timeoutMs = 200))
                (result to connection.isOpen).also { accepted.close() }
            }
        callAnswered("") shouldBe (HttpResult.Lost(HttpFailure.CLOSED) to false)
        callAnswered("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na") shouldBe
            (HttpResult.Lost(HttpFailure.CLOSED) to false)
        callAnswered("", isClosed = false) shouldBe (HttpResult.Lost(HttpFailure.TIMEOUT) to false)
        val (kept, isKeptOpen) = callAnswered("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
        (kept as HttpResult.Completed).response.body.decodeToString() shouldBe "a"
        isKeptOpen shouldBe true
        val (last, isLastOpen) =
            callAnswered("HTTP/1.1 503 Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        (last as HttpResult.Completed).response.status shouldBe 503
        isLastOpen shouldBe false
    }

    test("`a plan has stops in series and reloads, and ends before the recovery`") {
        val plans = (1L..50L).map { createFaultPlan(it, 30_000) }
        val stops = plans.flatten().map { it.fault }.filterIsInstance<Fault.Stop>()
        stops.count { it.restarts.isNotEmpty() } shouldBeGreaterThan 0
        StopAction.entries.forEach { action ->
            stops.count { stop -> stop.steps.drop(1).any { it.action == action } } shouldBeGreaterThan 0
        }
        plans.flatten().count { it.fault is Fault.Reload } shouldBeGreaterThan 0
        plans.flatten().count { it.atMs >= 19_500 } shouldBe 0
    }

    test("`a system that doesn't recover after all faults is reported`") {
        val record = SoakRecord()
        repeat(10) { record.calls.add(call("a$it", if (it == 0) 200 else 503, startedAtMs = 20_000)) }
        checkRun(record, mapOf("s1" to listOf(ran("a0"))), faultsEndedAtMs = 0).map { it.guarantee } shouldBe
            listOf("the system recovers")
    }

    test("`the same seed gives the same plan and another seed a different plan`") {
        createFaultPlan(7, 60_000) shouldBe createFaultPlan(7, 60_000)
        (createFaultPlan(7, 60_000) == createFaultPlan(8, 60_000)) shouldBe false
    }
})
