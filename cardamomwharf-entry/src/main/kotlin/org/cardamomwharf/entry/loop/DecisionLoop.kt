/*
 * The one thread that decides. It takes events from the ring, steps the state, gives the effects to their runner, and
 * publishes the view that look-ups are answered from.
 */
package org.cardamomwharf.entry.loop

import org.cardamomwharf.core.Clock
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.lookup.LookupView
import org.cardamomwharf.decision.lookup.createLookupView
import org.cardamomwharf.decision.step
import org.cardamomwharf.entry.settings.EntryTimes
import java.util.concurrent.CountDownLatch

private const val MS_PER_SECOND = 1_000L

/** Represents what the decision thread shows to other threads. */
public class Snapshot(
    public val state: EntryState,
    public val view: LookupView?,
    public val takenAtMs: Long,
)

/** Represents the receiver of effects; it must not block. */
public fun interface EffectRunner {
    /** Does [effect]. */
    public fun run(effect: EntryEffect)
}

/** Represents the decision thread. */
public class DecisionLoop(
    private var state: EntryState,
    private val ring: EventRing,
    private val clock: Clock,
    private val times: EntryTimes,
) {
    private val exit = CountDownLatch(1)
    private var tickedAtMs = clock.nowMs()
    private var publishedAtMs = 0L

    /** The newest state that was published. */
    @Volatile
    public var snapshot: Snapshot = Snapshot(state, null, clock.nowMs())
        private set

    /** Starts the thread. */
    public fun start(runner: EffectRunner) {
        val thread = Thread({ loop(runner) }, "decisions")
        thread.isDaemon = true
        thread.start()
    }

    /** Waits until the decisions ask to exit, at most [limitMs]; returns false when the time was up. */
    public fun awaitExit(limitMs: Long): Boolean = exit.await(limitMs, java.util.concurrent.TimeUnit.MILLISECONDS)

    private fun loop(runner: EffectRunner) {
        while (exit.count > 0) {
            val event = ring.poll(nextTickMs())
            if (event != null) decide(event, runner)
            if (nextTickMs() <= 0) tick(runner)
        }
    }

    private fun nextTickMs(): Long = (tickedAtMs + times.tickMs - clock.nowMs()).coerceAtLeast(0)

    private fun tick(runner: EffectRunner) {
        tickedAtMs = clock.nowMs()
        decide(EntryEvent.Tick(System.currentTimeMillis() / MS_PER_SECOND), runner)
        if (tickedAtMs - publishedAtMs >= times.viewMs) publish()
    }

    private fun decide(event: EntryEvent, runner: EffectRunner) {
        val step = step(state, event, clock.nowMs())
        state = step.state
        if (needsPublishing(step.effects)) publish()
        for (effect in step.effects) {
            if (effect is EntryEffect.Exit) exit.countDown() else runner.run(effect)
        }
    }

    private fun needsPublishing(effects: List<EntryEffect>): Boolean =
        effects.any { it is EntryEffect.DocumentAdopted || it is EntryEffect.SendHeartbeat && it.heartbeat.isLeaving }

    private fun publish() {
        val nowMs = clock.nowMs()
        publishedAtMs = nowMs
        snapshot = Snapshot(state, createLookupView(state, nowMs), nowMs)
    }
}
