/*
 * Tests that requests which arrive while a process stops get an answer after the decision logic has let it exit.
 */
package org.cardamomwharf.entry.loop

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.monotonicClock
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.entry.settings.EntryTimes
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val GRACE_MS = 60_000L
private const val POLL_MS = 20L

/** Times far beyond those of a passing run. */
private const val MAX_POLLS = 1_500
private const val TIMEOUT_MS = 30_000L

/** A running loop whose clock can be advanced beyond the time in which a leaving instance accepts requests. */
private class LeavingLoop {
    private val advancedMs = AtomicLong()
    private val clock = monotonicClock().let { real -> Clock { real.nowMs() + advancedMs.get() } }
    private val responses = LinkedBlockingQueue<EntryEffect.Respond>()
    private val eventQueue = EventQueue()
    private val address = SocketAddress("127.0.0.1", 1)
    private val member = Member(InstanceName("entry"), Incarnation(1), ZoneName("zone"), address, address)
    private val state = newEntryState(member, MembershipSettings(), EntryLimits(), clock.nowMs())
    val loop = DecisionLoop(state, eventQueue, clock, EntryTimes())

    init {
        loop.start { if (it is EntryEffect.Respond) responses.add(it) }
    }

    fun exit() {
        eventQueue.put(EntryEvent.LeaveRequested)
        var polls = 0
        while (loop.snapshot.state.leave == null && polls++ < MAX_POLLS) Thread.sleep(POLL_MS)
        advancedMs.set(GRACE_MS)
        loop.awaitExit(TIMEOUT_MS) shouldBe true
    }

    fun request(id: RequestId, origin: RequestOrigin): EntryEffect.Respond? {
        val spec = RequestSpec(id, ServiceName("orders"), origin, false, 1, clock.nowMs() + GRACE_MS, key = "key")
        eventQueue.offerRequest(EntryEvent.RequestArrived(spec)) shouldBe true
        return responses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }
}

class DecisionLoopTest : FunSpec({
    // Guards against a caller or peer whose request is accepted by a process that no longer handles it: the end of the
    // process closes the connection without an answer.
    test("`requests that arrive after the exit effect are refused as not run`") {
        val leaving = LeavingLoop()
        leaving.exit()
        val origins = listOf(RequestOrigin.CALLER, RequestOrigin.PEER)
        val responses = origins.mapIndexed { number, origin -> leaving.request(RequestId(number + 1L), origin) }
        responses.map { it?.reason?.outcome } shouldContainExactly origins.map { Outcome.NOT_RUN }
    }
})
