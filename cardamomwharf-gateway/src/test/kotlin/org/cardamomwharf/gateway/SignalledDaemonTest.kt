/*
 * Tests signals at each moment of a start, with a daemon and signals that the test controls.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Clock
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Time that a start takes. */
private const val START_MS = 3_000L
private val startError = Err(StartError.BindFailed(IOException("address in use")))

/** Records what happens in its order, and runs [whileStarting] in the start, when listeners are open. */
private class RecordedDaemon(
    private val result: Result<Unit, StartError> = Ok(Unit),
    private val whileStarting: () -> Unit = { },
) : Daemon, ProcessSignals {
    val record = CopyOnWriteArrayList<String>()
    var stopSignalledAtMs = 0L
    private val timeMs = AtomicLong()
    private var stopAction: (() -> Unit)? = null
    private var reloadAction: (() -> Unit)? = null

    override fun start(): Result<Unit, StartError> {
        record += "open"
        whileStarting()
        timeMs.set(START_MS)
        record += "started"
        return result
    }

    override fun stop(signalledAtMs: Long) {
        record += "stop"
        stopSignalledAtMs = signalledAtMs
    }

    override fun onStop(action: () -> Unit) {
        stopAction = action
    }

    override fun onReload(action: () -> Unit) {
        reloadAction = action
    }

    /** Handles the signal to stop as the JVM does, which ends the process at once if nothing handles it. */
    fun signalStop() {
        stopAction?.invoke() ?: record.add("killed")
    }

    /** Signals on a thread of its own, which has ended or waits when this returns. */
    fun signalStopAndAwaitBlock(): Thread = thread { signalStop() }.also {
        while (it.state !in setOf(Thread.State.BLOCKED, Thread.State.TERMINATED)) Thread.onSpinWait()
    }

    fun signalReload() {
        reloadAction?.invoke() ?: record.add("killed")
    }

    fun startBySignals() = SignalledDaemon(this, Clock { timeMs.get() }).start(this) { record += "reload" }
}

class SignalledDaemonTest : FunSpec({
    // Guards against SIGTERM ending a process at once after its listeners are open and before its start has ended.
    test("`a stop during the start waits for its end and is graceful`") {
        var stopping: Thread? = null
        lateinit var daemon: RecordedDaemon
        daemon = RecordedDaemon { stopping = daemon.signalStopAndAwaitBlock() }
        daemon.startBySignals()
        stopping?.join()
        daemon.record shouldContainExactly listOf("open", "started", "stop")
    }

    // Guards against a stop that is killed with requests under way, because its time began after a slow start.
    test("`the time to stop counts from the signal, also when the start takes long`") {
        var stopping: Thread? = null
        lateinit var daemon: RecordedDaemon
        daemon = RecordedDaemon { stopping = daemon.signalStopAndAwaitBlock() }
        daemon.startBySignals()
        stopping?.join()
        daemon.stopSignalledAtMs shouldBe 0L
    }

    // Guards against SIGHUP ending a process that has opened its listeners.
    test("`a reload during the start is handled`") {
        lateinit var daemon: RecordedDaemon
        daemon = RecordedDaemon { daemon.signalReload() }
        daemon.startBySignals()
        daemon.record shouldContainExactly listOf("open", "reload", "started")
    }

    test("`a process that is stopped before its start opens nothing`") {
        val daemon = RecordedDaemon()
        val signals = object : ProcessSignals by daemon {
            override fun onStop(action: () -> Unit) = action()
        }
        SignalledDaemon(daemon, Clock { 0 }).start(signals) { } shouldBe Ok(Unit)
        daemon.record shouldBe emptyList()
    }

    // Guards against a graceful stop of a process that serves nothing, which delays its exit by seconds.
    test("`a failed start returns its error and leaves nothing to stop`") {
        val daemon = RecordedDaemon(startError)
        daemon.startBySignals() shouldBe startError
        daemon.signalStop()
        daemon.record shouldContainExactly listOf("open", "started")
    }
})
