/*
 * Tests what proves that the keys of teams are still valid, and that a request with a key is sent on only then.
 */
package org.cardamomwharf.steering.teams

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.Steering
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.requests.AttemptOutcome
import org.cardamomwharf.steering.requests.AttemptReport
import org.cardamomwharf.steering.requests.NextStep
import org.cardamomwharf.steering.requests.Placement
import org.cardamomwharf.steering.requests.RefusalReason
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.support.HOME
import org.cardamomwharf.steering.support.PARAMETERS
import org.cardamomwharf.steering.support.READS
import org.cardamomwharf.steering.support.SERVICE
import org.cardamomwharf.steering.support.ZONES
import org.cardamomwharf.steering.support.add
import org.cardamomwharf.steering.support.createServer
import org.cardamomwharf.steering.support.createState

private const val BOUND_MS = 5_000L
private val team = Team(TeamName("weavers"), setOf(TeamKey("w1")))
private val spec = RequestSpec("1", READS, SERVICE, null, 0, deadlineAtMs = 100_000, team = team)

private fun createSteering(maxKeyAgeMs: Long?): Steering {
    val parameters = PARAMETERS.copy(teams = TeamParameters(maxKeyAgeMs))
    val steering = Steering(InstanceLocation(InstanceName("i1"), HOME, ZONES), parameters)
    steering.routes.adopt(createState(2, READS).copy(teams = listOf(team)))
    steering.setLiveInstances(emptyMap(), 0)
    steering.add(createServer("s1"), createServer("s2"))
    return steering
}

class ConfigurationProofTest : FunSpec({
    fun Steering.identify(key: String?, nowMs: Long) =
        callers.identify(READS, key?.let { TeamKey(it) }, nowMs)

    test("`without a bound keys are used without a proof, and nothing is confirmed to others`") {
        val steering = createSteering(maxKeyAgeMs = null)
        steering.identify("w1", 1_000_000) shouldBe Caller.Member(team)
        steering.identify("x", 1_000_000) shouldBe Caller.Unknown
        steering.callers.proof.record(0)
        steering.callers.confirmation(0).shouldBeNull()
    }

    test("`keys are neither accepted nor called unknown without a proof`") {
        val steering = createSteering(BOUND_MS)
        listOf("w1", "x", null).forEach { key ->
            steering.identify(key, 0).shouldBeInstanceOf<Caller.Unconfirmed>().refusal.run {
                reason shouldBe RefusalReason.UNCONFIRMED_KEYS
                (retryAfterMs in 1..BOUND_MS) shouldBe true
            }
        }
        steering.callers.identify(READS.copy(isPublic = true), null, 0) shouldBe Caller.Anonymous
        steering.callers.proof.record(0)
        steering.identify("w1", BOUND_MS - 100) shouldBe Caller.Member(team)
        steering.identify("x", BOUND_MS - 100) shouldBe Caller.Unknown
        steering.identify("w1", BOUND_MS).shouldBeInstanceOf<Caller.Unconfirmed>()
    }

    test("`an older proof, as in a delayed or repeated message, changes nothing`") {
        val proof = createSteering(BOUND_MS).callers.proof
        proof.record(3_000)
        proof.record(1_000)
        proof.ageMs(4_000) shouldBe 1_000
    }

    test("`the confirmation of another instance counts from the question, less its own age`") {
        val steering = createSteering(BOUND_MS)
        steering.callers.confirm(Confirmation(DocumentVersion(2), ageMs = 700), askedAtMs = 2_000)
        steering.callers.proof.ageMs(5_000) shouldBe 3_700
        steering.callers.confirmation(5_000) shouldBe Confirmation(DocumentVersion(2), 3_700)
        steering.callers.confirmation(1_300 + BOUND_MS).shouldBeNull()
    }

    // Guards against an instance that keeps a withdrawn key because others know the newer configuration.
    test("`the confirmation of a newer configuration proves nothing about an older one`") {
        val steering = createSteering(BOUND_MS)
        steering.callers.confirm(Confirmation(DocumentVersion(3), ageMs = 0), askedAtMs = 2_000)
        steering.callers.proof.ageMs(2_000).shouldBeNull()
        steering.routes.adopt(createState(3, READS))
        steering.callers.confirm(Confirmation(DocumentVersion(3), ageMs = 0), askedAtMs = 2_000)
        steering.callers.proof.ageMs(2_000) shouldBe 0
    }

    // Guards against a process that is paused after it accepted a request.
    test("`a request with a key isn't sent on after the proof has become too old`") {
        val steering = createSteering(BOUND_MS)
        steering.callers.proof.record(0)
        val first = steering.place(spec, 1_000).shouldBeInstanceOf<Placement.Send>()
        steering.place(spec, BOUND_MS) shouldBe Placement.Refuse(RefusalReason.UNCONFIRMED_KEYS, 500)
        steering.place(spec.copy(team = null), BOUND_MS).shouldBeInstanceOf<Placement.Send>()
        val report = AttemptReport(AttemptOutcome.NOT_SENT, mayHaveRun = false, tookMs = 1)
        steering.completeAttempt(spec, listOf(first), report, 2_000).shouldBeInstanceOf<NextStep.Retry>()
        steering.completeAttempt(spec, listOf(first), report, BOUND_MS).shouldBeInstanceOf<NextStep.Refuse>()
    }
})
