/*
 * Validation of the drains of a document. A drain of an unknown zone or service is rejected, because it would silently
 * have no effect.
 */
package org.cardamomwharf.core.document

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a problem of the drain at [index]. */
public sealed interface DrainProblem {
    /** The position of the drain in the document. */
    public val index: Int

    /** The zone of the drain is unknown. */
    public data class UnknownZone(override val index: Int, public val zone: ZoneName) : DrainProblem

    /** The service of the drain is unknown. */
    public data class UnknownService(override val index: Int, public val service: ServiceName) : DrainProblem

    /** The end of the drain is not after its start. */
    public data class EndsBeforeStart(override val index: Int) : DrainProblem
}

/** Returns all problems of the drains of this document. */
public fun EnvironmentDocument.findDrainProblems(): List<DrainProblem> {
    val zones = regions.flatMap { it.zones }.toSet()
    val serviceNames = services.map { it.name }.toSet()
    return drains.flatMapIndexed { index, drain ->
        listOfNotNull(
            DrainProblem.UnknownZone(index, drain.zone).takeIf { drain.zone !in zones },
            drain.service?.takeIf { it !in serviceNames }?.let { DrainProblem.UnknownService(index, it) },
            DrainProblem.EndsBeforeStart(index).takeIf { drain.isEndBeforeStart },
        )
    }
}

private val Drain.isEndBeforeStart: Boolean
    get() = endsAtEpochSeconds in 1..startsAtEpochSeconds
