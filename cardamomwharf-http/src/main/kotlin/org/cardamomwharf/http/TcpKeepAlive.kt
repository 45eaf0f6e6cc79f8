/*
 * TCP keep-alive probes. They detect idle connections that have been lost without being closed.
 */
package org.cardamomwharf.http

import jdk.net.ExtendedSocketOptions
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel

/** Idle time before the first probe; short compared to the seconds within which changes must be delivered. */
private const val FIRST_PROBE_AFTER_S = 1

/** Interval between probes. */
private const val PROBE_INTERVAL_S = 1

/** Number of unanswered probes after which the connection is considered lost. */
private const val MAX_UNANSWERED_PROBES = 2

/** Enables TCP keep-alive probes on [channel]. */
public fun enableTcpKeepAlive(channel: SocketChannel) {
    channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, FIRST_PROBE_AFTER_S)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_S)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAX_UNANSWERED_PROBES)
}
