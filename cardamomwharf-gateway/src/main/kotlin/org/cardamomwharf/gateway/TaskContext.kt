/*
 * What the duties of a process share.
 */
package org.cardamomwharf.gateway

import org.cardamomwharf.core.Clock
import org.cardamomwharf.gateway.logs.DecisionLog

/** Represents the clock and the log of a process. */
internal data class TaskContext(val clock: Clock, val log: DecisionLog)
