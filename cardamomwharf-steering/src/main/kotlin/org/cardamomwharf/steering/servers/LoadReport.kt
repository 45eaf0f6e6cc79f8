/*
 * Load that a backend server reports in its responses.
 */
package org.cardamomwharf.steering.servers

/** Represents the running and waiting requests and the slots of a server. */
public data class LoadReport(public val running: Int, public val waiting: Int, public val slots: Int) {
    /** Running and waiting requests. */
    public val total: Int get() = running + waiting
}
