/*
 * Receives what backend servers state about themselves, for logs and metrics.
 */
package org.cardamomwharf.forward.proxy

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.steering.servers.ServerReportChange

/** Receives notable statements of backend servers. Calls must not block. */
public interface ServerReportListener {
    /** Called after each report of [server] with what it changed. */
    public fun onChange(server: ServerName, change: ServerReportChange)

    /** Called when a limit announced by [server] can't be decoded. */
    public fun onMalformedLimit(server: ServerName)

    /** Called when there are messages for other instances about requests that crash backend servers. */
    public fun onCrashReports()
}

/** Ignores all statements. */
internal object IgnoredServerReports : ServerReportListener {
    override fun onChange(server: ServerName, change: ServerReportChange) = Unit

    override fun onMalformedLimit(server: ServerName) = Unit

    override fun onCrashReports() = Unit
}
