/*
 * The dependencies that all background tasks of a process share.
 */
package org.cardamomwharf.gateway

import org.cardamomwharf.core.Clock
import org.cardamomwharf.gateway.logs.DecisionLog

/** Represents the clock and the decision log of a process. */
internal data class TaskContext(val clock: Clock, val log: DecisionLog)
