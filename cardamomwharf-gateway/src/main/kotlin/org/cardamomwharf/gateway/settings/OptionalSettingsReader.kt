/*
 * Reads the optional sections of the settings: the capacity of the machine, and the bounds for teams.
 */
package org.cardamomwharf.gateway.settings

import org.cardamomwharf.document.yaml.YamlFields
import org.cardamomwharf.document.yaml.section
import org.cardamomwharf.steering.teams.LimitTolerance
import org.cardamomwharf.steering.teams.TeamParameters

private const val MAX_MEMORY_MB = 1_048_576.0
private const val MAX_LINK_MBPS = 1_000_000.0
private const val MAX_KEY_AGE_MS = 3_600_000L
private const val MAX_LIMIT_OVERSHOOT = 10.0

internal fun YamlFields.readMachine() = MachineCapacity(
    memoryMb = decimal("memoryMb", MAX_MEMORY_MB).toLong(),
    linkMbps = decimal("linkMbps", MAX_LINK_MBPS),
)

internal fun YamlFields.readTeams() = TeamParameters(
    maxKeyAgeMs = integer("maxKeyAgeMs", 0..MAX_KEY_AGE_MS, default = 0).takeIf { it > 0 },
    limitTolerance = section("limits", isRequired = false) { it.readLimitTolerance() } ?: LimitTolerance(),
)

private fun YamlFields.readLimitTolerance() = LimitTolerance(
    windowMs = milliseconds("windowS"),
    overshoot = decimal("overshoot", MAX_LIMIT_OVERSHOOT),
    slack = decimal("slack", MAX_ALLOWANCE).toInt(),
)
