/*
 * A process whose addresses are taken says so and starts nothing that looks alive.
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
    test("`a start whose address for heartbeats is taken is a fault`") {
        DatagramSocket(InetSocketAddress(HOST, PEER_PORT)).use {
            GatewayProcess(settings).start().getError().shouldBeInstanceOf<StartError.Listening>()
        }
    }

    test("`a start whose address for callers is taken is a fault`") {
        ServerSocket(CALLER_PORT, BACKLOG, InetAddress.getByName(HOST)).use {
            GatewayProcess(settings).start().getError().shouldBeInstanceOf<StartError.Listening>()
        }
    }
})
