/*
 * Reads the settings of a gateway process from YAML and returns either the settings or all problems found.
 */
package org.cardamomwharf.gateway.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind
import org.cardamomwharf.document.yaml.YamlFields
import org.cardamomwharf.document.yaml.readText
import org.cardamomwharf.document.yaml.readYaml
import org.cardamomwharf.document.yaml.section
import org.cardamomwharf.document.yaml.sections
import org.cardamomwharf.document.yaml.textList
import org.cardamomwharf.steering.hedging.HedgingParameters
import org.cardamomwharf.steering.teams.TeamParameters
import java.nio.file.Path

private const val MS_PER_SECOND = 1_000
private const val MAX_SECONDS = 3_600.0
internal const val MAX_ALLOWANCE = 1_000_000.0
private const val MAX_RETRY_RATIO = 10.0
private val placeholderAddress = SocketAddress("0.0.0.0", 1)

/** Reads the settings in [file]; returns all problems when they are invalid. */
public fun readGatewaySettings(file: Path): Result<GatewaySettings, List<Problem>> =
    readText(file).flatMap(::parseGatewaySettings)

/** Parses the settings in the YAML [text]; returns all problems when they are invalid. */
public fun parseGatewaySettings(text: String): Result<GatewaySettings, List<Problem>> =
    readYaml(text) { fields, problems -> fields.readSettings(problems) }

private fun YamlFields.readSettings(problems: ProblemCollector): GatewaySettings {
    val ports = readPorts(problems)
    return GatewaySettings(
        instance = InstanceName(text("instance")),
        zone = ZoneName(text("zone")),
        zones = sections("zones", isRequired = true) { ZoneName(it.text("name")) to RegionName(it.text("region")) }
            .toMap(),
        addresses = section("addresses", isRequired = true) { it.readAddresses(problems) }
            ?: GatewayAddresses(placeholderAddress, placeholderAddress, placeholderAddress, placeholderAddress, ""),
        peerPort = ports.first,
        metricsPort = ports.last,
        bounds = section("bounds", isRequired = true) { it.readBounds() } ?: GatewayBounds(0, 0.0, 0, 0, 0.0),
        machine = section("machine", isRequired = false) { it.readMachine() },
        teams = section("teams", isRequired = false) { it.readTeams() } ?: TeamParameters(),
        hedging = section("hedging", isRequired = false) { HedgingParameters(it.decimal("maxShare", 1.0)) }
            ?: HedgingParameters(),
    )
}

/** Returns the range of ports for internal traffic; heartbeats use the first, metrics the last. */
private fun YamlFields.readPorts(problems: ProblemCollector): IntRange {
    val ports = textList("internalPorts").map { it.toIntOrNull() ?: 0 }
    if (ports.size == 2 && ports.all { it > 0 } && ports[0] < ports[1]) return ports[0]..ports[1]
    problems.report(ProblemKind.WRONG_TYPE, getPath("internalPorts"), "must be two ascending port numbers")
    return 1..2
}

private fun YamlFields.readAddresses(problems: ProblemCollector) = GatewayAddresses(
    caller = readAddress("caller", problems),
    ready = readAddress("ready", problems),
    directory = readAddress("directory", problems),
    store = readAddress("store", problems),
    host = text("host"),
)

private fun YamlFields.readAddress(key: String, problems: ProblemCollector): SocketAddress {
    val text = text(key)
    val address = SocketAddress.parse(text)
    if (address == null && text.isNotEmpty()) {
        problems.report(ProblemKind.WRONG_TYPE, getPath(key), "$text isn't an IP address and port")
    }
    return address ?: placeholderAddress
}

private fun YamlFields.readBounds() = GatewayBounds(
    stopMs = milliseconds("stopS"),
    retryRatio = decimal("retryRatio", MAX_RETRY_RATIO),
    retryAllowance = decimal("retryAllowance", MAX_ALLOWANCE).toInt(),
    retryWindowMs = milliseconds("retryWindowS"),
    maxShift = decimal("largestShift", 1.0),
)

internal fun YamlFields.milliseconds(key: String): Long = (decimal(key, MAX_SECONDS) * MS_PER_SECOND).toLong()
