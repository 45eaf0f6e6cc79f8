/*
 * Work that a process repeats for as long as it runs. A step that fails unexpectedly is logged and the work goes on: a
 * process without one of its duties would look alive and act on what it knew before.
 */
package org.cardamomwharf.gateway

import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.logs.DecisionLog

/** Pause after a step that failed, so that one that always fails doesn't take the processor. */
private const val PAUSE_MS = 500L

/** Repeats [step] on a thread called [name] until it returns false. */
internal fun startBackgroundTask(name: String, log: DecisionLog, step: () -> Boolean) {
    val repeat = {
        while (attempt(name, log, step) ?: pause()) Unit
    }
    Thread(repeat, name).apply { isDaemon = true }.start()
}

/** Returns what [step] returns, or null when it failed, which is logged as a failure of the duty [name]. */
@Suppress("TooGenericExceptionCaught") // Whatever a step throws, the duty has to go on.
internal fun <T : Any> attempt(name: String, log: DecisionLog, step: () -> T): T? = try {
    step()
} catch (e: Exception) {
    log.event("duty-failed") {
        put("duty", name)
        put("error", e.toString())
        put("at", e.stackTrace.firstOrNull()?.toString())
    }
    null
}

private fun pause(): Boolean {
    Thread.sleep(PAUSE_MS)
    return true
}
