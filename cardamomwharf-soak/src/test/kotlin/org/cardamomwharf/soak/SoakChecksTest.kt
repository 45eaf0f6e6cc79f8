/*
 * Each guarantee that the soak checks, violated on purpose, and the disturbances that exempt an instance.
 */
package org.cardamomwharf.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.cardamomwharf.platform.standin.BackendRun

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
        findViolations(call("c", 502), runs = listOf(ran("c"))).shouldBeEmpty()
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
