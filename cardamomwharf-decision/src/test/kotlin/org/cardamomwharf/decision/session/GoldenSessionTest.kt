/*
 * Replays event files and compares the effects with golden files byte for byte. To regenerate the files after an
 * intended change, run the tests with -Dgolden.update=true and review the difference.
 */
package org.cardamomwharf.decision.session

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.step
import org.cardamomwharf.decision.support.START_MS
import org.cardamomwharf.decision.support.createMember
import java.nio.file.Files
import java.nio.file.Path

private val folder = Path.of("src/test/resources/golden")
private val isUpdate = System.getProperty("golden.update") == "true"

/** Represents an event with its time. */
@Serializable
data class TimedEvent(val atMs: Long, val event: EntryEvent)

/** Represents the effects of the event at the same time. */
@Serializable
data class TimedEffects(val atMs: Long, val effects: List<EntryEffect>)

private fun replay(lines: List<String>): List<String> {
    var state = newEntryState(createMember("e1"), MembershipSettings(), EntryLimits(), START_MS)
    return lines.map { line ->
        val timed = Json.decodeFromString<TimedEvent>(line)
        val step = step(state, timed.event, timed.atMs)
        state = step.state
        Json.encodeToString(TimedEffects(timed.atMs, step.effects))
    }
}

class GoldenSessionTest : FunSpec({
    for ((name, session) in goldenSessions) {
        test("`the session $name yields the same effects byte for byte`") {
            val eventsFile = folder.resolve("$name.events.jsonl")
            val effectsFile = folder.resolve("$name.effects.jsonl")
            if (isUpdate) {
                Files.write(eventsFile, session().map { Json.encodeToString(it) })
                Files.write(effectsFile, replay(Files.readAllLines(eventsFile)))
            }
            val effects = replay(Files.readAllLines(eventsFile)).joinToString("\n")
            effects shouldBe Files.readAllLines(effectsFile).joinToString("\n")
        }
    }
})
