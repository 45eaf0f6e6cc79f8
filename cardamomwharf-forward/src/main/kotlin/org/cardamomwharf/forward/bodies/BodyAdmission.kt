/*
 * Admits requests by the room for their bodies, before anything is sent to a backend server. The room for the expected
 * response is reserved together with that for the request, because a response must not be dropped once its request
 * has been executed.
 */
package org.cardamomwharf.forward.bodies

import org.cardamomwharf.steering.desired.Route

/** Maximum share of the general part that is reserved for an expected response; the rest of it grows when it comes. */
private const val MAX_EXPECTED_SHARE = 0.25

/** Represents the reservations of one request. */
internal class RequestBodies(val request: BodyReservation, val response: BodyReservation) {
    /** Gives back both reservations. */
    fun release() {
        request.release()
        response.release()
    }
}

internal class BodyAdmission(private val budget: BodyBudget) {
    private val sizes = ResponseSizes()

    /** Returns the reservations of a request with a body of [requestBytes], or null without room. */
    fun admit(route: Route, requestBytes: Long): RequestBodies? {
        val maxExpected = (budget.settings.generalBytes * MAX_EXPECTED_SHARE).toLong()
        val responseBytes = minOf(sizes.expectedBytes(route), maxExpected)
        val isSmall = requestBytes <= SMALL_BODY_BYTES && responseBytes <= SMALL_BODY_BYTES
        val request = budget.reserve(requestBytes, isSmall)
        val response = request?.let { budget.reserve(responseBytes, isSmall) }
        if (response == null) request?.release()
        return if (request == null || response == null) null else RequestBodies(request, response)
    }

    /** Records the size of a response, from which the next ones are expected. */
    fun recordResponse(route: Route, bytes: Int) = sizes.record(route, bytes)
}
