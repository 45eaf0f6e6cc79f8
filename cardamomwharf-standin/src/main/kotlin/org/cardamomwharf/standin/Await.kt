/*
 * Waits until processes are ready.
 */
package org.cardamomwharf.standin

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpCaller
import org.cardamomwharf.http.HttpCallerSettings
import org.cardamomwharf.http.HttpEnd
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyCaller

private const val ASK_LIMIT_MS = 500L
private const val PAUSE_MS = 100L
private const val TRIES_PER_SECOND = 10

/** Returns true as soon as all [urls] answer with status 200, or false after about [seconds]. */
public fun awaitUrls(urls: List<String>, seconds: Int): Boolean =
    startJettyCaller(HttpCallerSettings("await")).use { caller ->
        (1..seconds * TRIES_PER_SECOND).any {
            val isReady = urls.all { url -> isReady(caller, url) }
            if (!isReady) Thread.sleep(PAUSE_MS)
            isReady
        }
    }

private fun isReady(caller: HttpCaller, url: String): Boolean {
    val end = caller.call(HttpCall("GET", url, limitMs = ASK_LIMIT_MS))
    return end is HttpEnd.Answered && end.answer.status == StatusCode.OK
}
