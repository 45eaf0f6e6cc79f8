/*
 * Memory for the response to a hedge, which is read at the same time as the response to the first attempt.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.forward.bodies.BodyBound
import org.cardamomwharf.forward.bodies.BodyBudget
import org.cardamomwharf.forward.bodies.BodyReservation

/** Reserves from [budget] as the response grows; [requestRoom] is the room for the response that the caller gets. */
internal class HedgeRoom(private val requestRoom: BodyReservation, budget: BodyBudget) {
    /** Reservation of the response to the hedge. An empty one always has room. */
    val reservation: BodyReservation = checkNotNull(budget.reserve(0, isSmall = true))

    /** Passes the room for a complete response of [bytes] on to the request; call before the release. */
    fun pass(bytes: Long) {
        reservation.release()
        requestRoom.grow(bytes, BodyBound.RESPONSE)
    }
}
