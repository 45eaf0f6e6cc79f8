/*
 * Connections may fall silent for good without being closed. TCP's own probes find them while they are idle.
 */
package org.cardamomwharf.http

import jdk.net.ExtendedSocketOptions
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel

/** Idle time before the first probe; short beside the seconds in which changes have to arrive. */
private const val PROBE_AFTER_S = 1

/** Time between probes. */
private const val PROBE_GAP_S = 1

/** Unanswered probes after which the connection counts as lost. */
private const val PROBES = 2

/** Makes the system probe [channel] while it is idle. */
public fun enableTcpKeepAlive(channel: SocketChannel) {
    channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_AFTER_S)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_GAP_S)
    channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES)
}
