/*
 * Runs repeated background tasks. A failed step is logged and the task continues: a process that lost one of its tasks
 * would appear healthy but act on outdated state.
 */
package org.cardamomwharf.gateway

import kotlinx.serialization.json.put
import org.cardamomwharf.gateway.logs.DecisionLog

/** Delay after a failed step, so that a step that always fails doesn't occupy a processor. */
private const val FAILURE_DELAY_MS = 500L

/** Repeats [step] on a daemon thread named [name] until it returns false. */
internal fun startBackgroundTask(name: String, log: DecisionLog, step: () -> Boolean) {
    val repeat = {
        while (runOrLogFailure(name, log, step) ?: delayAfterFailure()) Unit
    }
    Thread(repeat, name).apply { isDaemon = true }.start()
}

/** Returns the result of [step], or logs its failure under the task name [name] and returns null. */
@Suppress("TooGenericExceptionCaught") // The task has to continue whatever a step throws.
internal fun <T : Any> runOrLogFailure(name: String, log: DecisionLog, step: () -> T): T? = try {
    step()
} catch (e: Exception) {
    logFailure(name, log, e)
    null
}

/** Logs that the task named [name] failed with [cause]. */
internal fun logFailure(name: String, log: DecisionLog, cause: Throwable) {
    log.event("duty-failed") {
        put("duty", name)
        put("error", cause.toString())
        put("at", cause.stackTrace.firstOrNull()?.toString())
    }
}

private fun delayAfterFailure(): Boolean {
    Thread.sleep(FAILURE_DELAY_MS)
    return true
}
