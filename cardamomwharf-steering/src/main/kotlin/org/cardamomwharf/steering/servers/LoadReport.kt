/*
 * The load that a backend server reports with its answers.
 */
package org.cardamomwharf.steering.servers

/** Represents a report of running and waiting requests, and of the slots that the server has. */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int) {
    /** Requests that the server holds. */
    public val total: Int get() = running + waiting
}
