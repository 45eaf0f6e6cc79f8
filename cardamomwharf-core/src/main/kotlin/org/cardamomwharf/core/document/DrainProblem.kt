/*
 * What can be wrong with the drains of a document. A drain of a name that doesn't exist would drain nothing, and nobody
 * would notice.
 */
package org.cardamomwharf.core.document

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a fault of the drain at [index]. */
public sealed interface DrainProblem {
    /** The position of the drain in the document. */
    public val index: Int

    /** There is no such zone. */
    public data class UnknownZone(override val index: Int, public val zone: ZoneName) : DrainProblem

    /** There is no such service. */
    public data class UnknownService(override val index: Int, public val service: ServiceName) : DrainProblem

    /** The drain would end before it starts. */
    public data class EndsBeforeStart(override val index: Int) : DrainProblem
}

/** Returns all faults of the drains of this document. */
public fun EnvironmentDocument.findDrainProblems(): List<DrainProblem> {
    val zones = regions.flatMap { it.zones }.toSet()
    val names = services.map { it.name }.toSet()
    return drains.flatMapIndexed { index, drain ->
        listOfNotNull(
            DrainProblem.UnknownZone(index, drain.zone).takeIf { drain.zone !in zones },
            drain.service?.takeIf { it !in names }?.let { DrainProblem.UnknownService(index, it) },
            DrainProblem.EndsBeforeStart(index).takeIf { drain.endsBeforeStart },
        )
    }
}

private val Drain.endsBeforeStart: Boolean
    get() = endsAtEpochSeconds in 1..startsAtEpochSeconds
