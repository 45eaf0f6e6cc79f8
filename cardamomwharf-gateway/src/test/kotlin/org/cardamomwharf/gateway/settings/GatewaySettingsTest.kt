/*
 * Tests the settings of a gateway, both as in the template and with errors.
 */
package org.cardamomwharf.gateway.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.teams.LimitTolerance
import org.cardamomwharf.steering.teams.TeamParameters

private val VALID_SETTINGS = """
    instance: "front-a-1"
    zone: "a"
    zones:
      - { name: "a", region: "north" }
      - { name: "b", region: "south" }
    addresses:
      caller: "10.1.0.18:8381"
      ready: "10.1.0.18:8388"
      directory: "10.1.0.18:8383"
      store: "10.200.1.7:8384"
      host: "10.1.0.18"
    internalPorts: [7200, 7215]
    bounds:
      stopS: 6
      retryRatio: 0.2
      retryAllowance: 64
      retryWindowS: 10
      largestShift: 0.15
""".trimIndent()

private const val OPTIONAL_SETTINGS = """
machine:
  memoryMb: 430
  linkMbps: 7.5
teams:
  maxKeyAgeMs: 5000
  limits:
    windowS: 5
    overshoot: 0.1
    slack: 20
hedging:
  maxShare: 0.05
"""

class GatewaySettingsTest : FunSpec({
    test("`valid settings are read completely`") {
        val settings = parseGatewaySettings(VALID_SETTINGS).getOrElse { null }.shouldNotBeNull()
        settings.zones shouldBe mapOf(ZoneName("a") to RegionName("north"), ZoneName("b") to RegionName("south"))
        settings.peerPort shouldBe 7_200
        settings.metricsPort shouldBe 7_215
        settings.bounds.stopMs shouldBe 6_000
    }

    test("`settings without the optional sections bound no keys and hedge nothing`") {
        val settings = parseGatewaySettings(VALID_SETTINGS).getOrElse { null }.shouldNotBeNull()
        settings.machine shouldBe null
        settings.teams shouldBe TeamParameters()
        settings.hedging.maxShare shouldBe 0.0
    }

    test("`the capacity of the machine, the bounds for teams and the limits on hedges are read`") {
        val settings = parseGatewaySettings(VALID_SETTINGS + OPTIONAL_SETTINGS).getOrElse { null }.shouldNotBeNull()
        settings.machine shouldBe MachineCapacity(memoryMb = 430, linkMbps = 7.5)
        settings.teams shouldBe TeamParameters(5_000, LimitTolerance(windowMs = 5_000, overshoot = 0.1, slack = 20))
        settings.toParameters().hedging.maxShare shouldBe 0.05
    }

    // Guards against processes that don't start: the platform states amounts as fractions in some deployments.
    test("`amounts with a fraction are rounded down`") {
        val text = VALID_SETTINGS.replace("retryAllowance: 64", "retryAllowance: 35.918") +
            OPTIONAL_SETTINGS.replace("slack: 20", "slack: 20.7").replace("memoryMb: 430", "memoryMb: 430.5")
        val settings = parseGatewaySettings(text).getOrElse { null }.shouldNotBeNull()
        settings.bounds.retryAllowance shouldBe 35
        settings.teams.limitTolerance.slack shouldBe 20
        settings.machine?.memoryMb shouldBe 430
    }

    test("`every problem names its field`") {
        val text = VALID_SETTINGS.replace("10.200.1.7:8384", "nowhere").replace("[7200, 7215]", "[7215, 7200]")
            .replace("retryRatio: 0.2", "retryRatio: -1")
        val paths = parseGatewaySettings(text).getError().shouldNotBeNull().map { it.path }
        paths shouldContain "addresses.store"
        paths shouldContain "internalPorts"
        paths shouldContain "bounds.retryRatio"
    }
})
