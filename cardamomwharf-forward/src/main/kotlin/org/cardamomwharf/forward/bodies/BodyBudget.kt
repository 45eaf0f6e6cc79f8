/*
 * Bounds the memory of all request and response bodies of the process. Bodies of any size are admitted to the general
 * part. The response to a request that was sent may also use the overflow part, because a server has executed the
 * request by then. The small part is only for small bodies, so that large ones never take their room.
 */
package org.cardamomwharf.forward.bodies

/** Maximum size of a small body: one read buffer; the requests of services without transfers stay below it. */
public const val SMALL_BODY_BYTES: Long = 16_384

/** Share of the heap for bodies; with 96 MB this leaves about 67 MB for heads, connections and state. */
private const val HEAP_SHARE = 0.3

/** Share of the machine's memory for bodies; the process itself takes about 100 MB beside its heap. */
private const val MACHINE_SHARE = 0.1

/** Share of the budget that only small bodies use. */
private const val SMALL_SHARE = 1.0 / 6

/** Share of the budget for responses that are larger than expected. */
private const val OVERFLOW_SHARE = 1.0 / 4
private const val BYTES_PER_MB = 1_048_576L

/**
 * Represents the parts of the budget.
 *
 * @param generalBytes part for bodies of any size.
 * @param overflowBytes part for responses that are larger than expected.
 * @param smallBytes part for small bodies.
 * @param writeTimeoutMs maximum time in which a caller takes its response; several times the timeout of a download.
 */
public data class BodyBudgetSettings(
    public val generalBytes: Long,
    public val overflowBytes: Long,
    public val smallBytes: Long,
    public val writeTimeoutMs: Long = 30_000,
) {
    /** Maximum size of all bodies. */
    public val totalBytes: Long get() = generalBytes + overflowBytes + smallBytes
}

/** Represents which part of the budget a reservation may use beyond the small part. */
public enum class BodyBound {
    /** The general part; for bodies that can still be refused. */
    ADMISSION,

    /** The general and the overflow part; for responses to requests that were sent. */
    RESPONSE,
}

/** Represents the budget. */
public class BodyBudget internal constructor(public val settings: BodyBudgetSettings) {
    private var smallBytes = 0L
    private var generalBytes = 0L

    /** Size of all reservations. */
    public val heldBytes: Long
        @Synchronized get() = smallBytes + generalBytes

    /** Returns a reservation of [bytes], or null without room; [isSmall] ones use the small part first. */
    @Synchronized
    public fun reserve(bytes: Long, isSmall: Boolean): BodyReservation? =
        BodyReservation(this, isSmall).takeIf { resize(it, bytes, BodyBound.ADMISSION) }

    /** Changes the size of [reservation]. Returns false and changes nothing if there is no room. */
    @Synchronized
    internal fun resize(reservation: BodyReservation, bytes: Long, bound: BodyBound): Boolean {
        val freeSmall = settings.smallBytes - smallBytes + reservation.smallBytes
        val newSmall = if (reservation.isSmall) minOf(bytes, SMALL_BODY_BYTES, freeSmall) else 0
        val newGeneral = bytes - newSmall
        val limit = settings.generalBytes + if (bound == BodyBound.RESPONSE) settings.overflowBytes else 0
        val otherGeneral = generalBytes - reservation.generalBytes
        val fits = newGeneral <= reservation.generalBytes || otherGeneral + newGeneral <= limit
        if (fits) {
            smallBytes += newSmall - reservation.smallBytes
            generalBytes = otherGeneral + newGeneral
            reservation.smallBytes = newSmall
            reservation.generalBytes = newGeneral
        }
        return fits
    }
}

/** Returns a budget with the parts in [settings]. */
public fun createBodyBudget(settings: BodyBudgetSettings): BodyBudget = BodyBudget(settings)

/** Returns a budget for a heap of [heapBytes] on a machine with [machineMemoryMb], or null if that isn't known. */
public fun createBodyBudget(heapBytes: Long, machineMemoryMb: Long? = null): BodyBudget {
    val machineBytes = machineMemoryMb?.let { (it * BYTES_PER_MB * MACHINE_SHARE).toLong() } ?: Long.MAX_VALUE
    val totalBytes = minOf((heapBytes * HEAP_SHARE).toLong(), machineBytes)
    val smallBytes = (totalBytes * SMALL_SHARE).toLong()
    val overflowBytes = (totalBytes * OVERFLOW_SHARE).toLong()
    return BodyBudget(BodyBudgetSettings(totalBytes - smallBytes - overflowBytes, overflowBytes, smallBytes))
}
