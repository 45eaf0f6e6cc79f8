/*
 * Polls URLs until the processes behind them are ready.
 */
package org.cardamomwharf.standin

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient

private const val REQUEST_TIMEOUT_MS = 500L
private const val POLL_INTERVAL_MS = 100L
private const val POLLS_PER_SECOND = 10

/** Returns true as soon as all [urls] respond with status 200, or false after about [seconds]. */
public fun awaitUrls(urls: List<String>, seconds: Int): Boolean =
    startJettyHttpClient(HttpClientSettings("await")).use { client ->
        (1..seconds * POLLS_PER_SECOND).any {
            val isReady = urls.all { url -> isReady(client, url) }
            if (!isReady) Thread.sleep(POLL_INTERVAL_MS)
            isReady
        }
    }

private fun isReady(client: HttpClient, url: String): Boolean {
    val result = client.call(HttpCall("GET", url, timeoutMs = REQUEST_TIMEOUT_MS))
    return result is HttpResult.Completed && result.response.status == StatusCode.OK
}
