/*
 * Event loop on a single thread. It polls events from the queue, computes the next state, passes the effects to their
 * runner, and publishes snapshots of the state and of the view for look-ups. After the exit effect it goes on refusing
 * requests until it is stopped: the listeners are closed later, and nothing else answers what they accept until then.
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

/** Represents the state that the decision thread publishes to other threads. */
public class Snapshot(
    public val state: EntryState,
    public val view: LookupView?,
    public val takenAtMs: Long,
)

/** Executes effects; it must not block. */
public fun interface EffectRunner {
    /** Executes [effect]. */
    public fun run(effect: EntryEffect)
}

/** Runs the decision logic on its own thread. */
public class DecisionLoop(
    private var state: EntryState,
    private val eventQueue: EventQueue,
    private val clock: Clock,
    private val times: EntryTimes,
) {
    private val exitLatch = CountDownLatch(1)
    private var lastTickAtMs = clock.nowMs()
    private var lastPublishAtMs = 0L

    @Volatile
    private var isStopped = false

    /** The latest published snapshot. */
    @Volatile
    public var snapshot: Snapshot = Snapshot(state, null, clock.nowMs())
        private set

    /** Starts the decision thread. */
    public fun start(runner: EffectRunner) {
        val thread = Thread({ runLoop(runner) }, "decisions")
        thread.isDaemon = true
        thread.start()
    }

    /** Waits for the exit effect for at most [timeoutMs]; returns false on a timeout. */
    public fun awaitExit(timeoutMs: Long): Boolean =
        exitLatch.await(timeoutMs, java.util.concurrent.TimeUnit.MILLISECONDS)

    /** Stops the decision thread once no listener accepts requests any more. */
    public fun stop() {
        isStopped = true
    }

    private fun runLoop(runner: EffectRunner) {
        while (exitLatch.count > 0 && !isStopped) {
            val event = eventQueue.poll(getMsUntilNextTick())
            if (event != null) processEvent(event, runner)
            if (getMsUntilNextTick() <= 0) tick(runner)
        }
        refuseRequests(runner)
    }

    /** Processes requests alone: the exit effect comes when all of them are refused and no other work is open. */
    private fun refuseRequests(runner: EffectRunner) {
        while (!isStopped) {
            val event = eventQueue.poll(times.tickIntervalMs)
            if (event is EntryEvent.RequestArrived) processEvent(event, runner)
        }
    }

    private fun getMsUntilNextTick(): Long = (lastTickAtMs + times.tickIntervalMs - clock.nowMs()).coerceAtLeast(0)

    private fun tick(runner: EffectRunner) {
        lastTickAtMs = clock.nowMs()
        processEvent(EntryEvent.Tick(System.currentTimeMillis() / MS_PER_SECOND), runner)
        if (lastTickAtMs - lastPublishAtMs >= times.viewIntervalMs) publish()
    }

    private fun processEvent(event: EntryEvent, runner: EffectRunner) {
        val step = step(state, event, clock.nowMs())
        state = step.state
        if (needsPublishing(step.effects)) publish()
        for (effect in step.effects) {
            if (effect is EntryEffect.Exit) exitLatch.countDown() else runner.run(effect)
        }
    }

    private fun needsPublishing(effects: List<EntryEffect>): Boolean =
        effects.any { it is EntryEffect.DocumentAdopted || it is EntryEffect.SendHeartbeat && it.heartbeat.isLeaving }

    private fun publish() {
        val nowMs = clock.nowMs()
        lastPublishAtMs = nowMs
        snapshot = Snapshot(state, createLookupView(state, nowMs), nowMs)
    }
}
