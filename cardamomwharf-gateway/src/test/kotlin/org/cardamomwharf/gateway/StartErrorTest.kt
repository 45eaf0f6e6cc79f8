/*
 * Guards against a process that keeps running although its addresses are in use: the start has to return an error and
 * must not leave a process that appears healthy.
 */
package org.cardamomwharf.gateway

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cardamomwharf.gateway.settings.GatewaySettings
import org.cardamomwharf.gateway.settings.parseGatewaySettings
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

private const val HOST = "127.59.3.1"
private const val CALLER_PORT = 8_000
private const val PEER_PORT = 8_100
private const val BACKLOG = 1

private val settings: GatewaySettings = parseGatewaySettings(
    """
    instance: "i"
    zone: "z"
    zones:
      - { name: "z", region: "r" }
    addresses:
      caller: "$HOST:$CALLER_PORT"
      ready: "$HOST:8001"
      directory: "$HOST:8002"
      store: "$HOST:7000"
      host: "$HOST"
    internalPorts: [$PEER_PORT, 8115]
    bounds: { stopS: 0.2, retryRatio: 0.2, retryAllowance: 10, retryWindowS: 10, largestShift: 0.15 }
    """.trimIndent(),
).getOrThrow { IllegalStateException(it.toString()) }

class StartErrorTest : FunSpec({
    test("`a start fails when the heartbeat address is in use`") {
        DatagramSocket(InetSocketAddress(HOST, PEER_PORT)).use {
            GatewayProcess(settings).start().getError().shouldBeInstanceOf<StartError.BindFailed>()
        }
    }

    test("`a start fails when the address for callers is in use`") {
        ServerSocket(CALLER_PORT, BACKLOG, InetAddress.getByName(HOST)).use {
            GatewayProcess(settings).start().getError().shouldBeInstanceOf<StartError.BindFailed>()
        }
    }
})
