/*
 * Starts and stops a daemon by signals, which may arrive at any moment of the start. Without a handler, each of them
 * ends the process at once, and with it the requests under way.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import org.apache.logging.log4j.LogManager
import org.cardamomwharf.core.Clock
import sun.misc.Signal

/** Represents the work of a process. */
internal interface Daemon {
    /** Starts to serve. After an error nothing is served. */
    fun start(): Result<Unit, StartError>

    /** Returns when nothing is served any more; the time to stop counts from [signalledAtMs]. */
    fun stop(signalledAtMs: Long)
}

/** Registers the actions to run on signals; each action runs on a thread of its own. */
internal interface ProcessSignals {
    /** Runs [action] when the process has to end, which it does after the action. */
    fun onStop(action: () -> Unit)

    fun onReload(action: () -> Unit)
}

/** Represents the signals that the JVM receives. */
internal object JvmSignals : ProcessSignals {
    override fun onStop(action: () -> Unit) {
        val run = {
            try {
                action()
            } finally {
                LogManager.shutdown()
            }
        }
        Runtime.getRuntime().addShutdownHook(Thread(run, "stop"))
    }

    override fun onReload(action: () -> Unit) {
        Signal.handle(Signal("HUP")) { action() }
    }
}

internal class SignalledDaemon(private val daemon: Daemon, private val clock: Clock) {
    private var isStopping = false
    private var isServing = false

    /** Starts the daemon unless a signal has stopped it, with its [signals] handled before anything is served. */
    fun start(signals: ProcessSignals, reload: () -> Unit): Result<Unit, StartError> {
        signals.onStop(::stop)
        signals.onReload(reload)
        return startUnlessStopped()
    }

    @Synchronized
    private fun startUnlessStopped(): Result<Unit, StartError> {
        if (isStopping) return Ok(Unit)
        isServing = true
        return daemon.start().onFailure { isServing = false }
    }

    /** Waits for the end of a start that has begun, which isn't interrupted. */
    private fun stop() {
        val signalledAtMs = clock.nowMs()
        val mustStop = synchronized(this) {
            isStopping = true
            isServing
        }
        if (mustStop) daemon.stop(signalledAtMs)
    }
}
