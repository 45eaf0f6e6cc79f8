/*
 * A part of the budget that one body holds until it is released. After the release, nothing can be reserved again, so
 * that a connection that still reads can't hold memory that nobody gives back.
 */
package org.cardamomwharf.forward.bodies

/** Represents a reservation; its sizes are guarded by the budget. */
public class BodyReservation internal constructor(private val budget: BodyBudget, internal val isSmall: Boolean) {
    internal var smallBytes = 0L
    internal var generalBytes = 0L
    private var isReleased = false

    /** Size of the reservation. */
    public val bytes: Long get() = synchronized(budget) { smallBytes + generalBytes }

    /** Enlarges the reservation to at least [bytes]. Returns false and changes nothing if there is no room. */
    public fun grow(bytes: Long, bound: BodyBound): Boolean = synchronized(budget) {
        !isReleased && (bytes <= this.bytes || budget.resize(this, bytes, bound))
    }

    /** Gives back what exceeds [bytes]. */
    public fun shrink(bytes: Long) {
        synchronized(budget) { if (bytes < this.bytes) budget.resize(this, bytes, BodyBound.RESPONSE) }
    }

    /** Gives back the whole reservation; further calls have no effect. */
    public fun release() {
        synchronized(budget) {
            isReleased = true
            shrink(0)
        }
    }
}
