/*
 * Learns the size of the responses of each route: a maximum that decays, so that one exceptional response doesn't
 * raise the reservations of a route forever.
 */
package org.cardamomwharf.forward.bodies

import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.TransferKind
import java.util.concurrent.ConcurrentHashMap

/** Expected size of the first response of a route with small responses. */
private const val FIRST_SMALL_BYTES = 1_024L

/** Expected size of the first response of a route with large responses; above the mean of scanned images. */
private const val FIRST_DOWNLOAD_BYTES = 131_072L

/** Share of the difference to the latest response by which the maximum decays with each response. */
private const val DECAY = 1.0 / 64

/** Number of routes above which the learned sizes are dropped; far above the routes of a configuration. */
private const val MAX_ROUTES = 4_096

internal class ResponseSizes {
    private val largestBytes = ConcurrentHashMap<String, Long>()

    /** Returns the size to reserve for a response of [route]. */
    fun expectedBytes(route: Route): Long = largestBytes[route.name] ?: firstBytes(route)

    /** Records a response of [bytes]. */
    fun record(route: Route, bytes: Int) {
        if (largestBytes.size >= MAX_ROUTES) largestBytes.clear()
        largestBytes.compute(route.name) { _, known ->
            val before = known ?: firstBytes(route)
            maxOf(bytes.toLong(), before - ((before - bytes) * DECAY).toLong())
        }
    }

    private fun firstBytes(route: Route): Long =
        if (route.transfer == TransferKind.DOWNLOAD) FIRST_DOWNLOAD_BYTES else FIRST_SMALL_BYTES
}
