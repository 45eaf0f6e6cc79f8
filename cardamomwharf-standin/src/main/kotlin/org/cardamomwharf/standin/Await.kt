/*
 * Waits until processes are ready.
 */
package org.cardamomwharf.standin

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient

private const val ASK_LIMIT_MS = 500L
private const val PAUSE_MS = 100L
private const val TRIES_PER_SECOND = 10

/** Returns true as soon as all [urls] answer with status 200, or false after about [seconds]. */
public fun awaitUrls(urls: List<String>, seconds: Int): Boolean =
    startJettyHttpClient(HttpClientSettings("await")).use { caller ->
        (1..seconds * TRIES_PER_SECOND).any {
            val isReady = urls.all { url -> isReady(caller, url) }
            if (!isReady) Thread.sleep(PAUSE_MS)
            isReady
        }
    }

private fun isReady(caller: HttpClient, url: String): Boolean {
    val end = caller.call(HttpCall("GET", url, timeoutMs = ASK_LIMIT_MS))
    return end is HttpResult.Completed && end.response.status == StatusCode.OK
}
