/*
 * Reads the settings of an entry process from YAML and reports all problems found in them.
 */
package org.cardamomwharf.entry.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind
import org.cardamomwharf.document.yaml.YamlFields
import org.cardamomwharf.document.yaml.enumValue
import org.cardamomwharf.document.yaml.readText
import org.cardamomwharf.document.yaml.readYaml
import org.cardamomwharf.document.yaml.section
import org.cardamomwharf.logging.LogFormat
import org.cardamomwharf.repository.EnvironmentName
import java.nio.file.Path

private const val MAX_DURATION_MS = 3_600_000L
private const val MAX_COUNT = 100_000L
private val placeholderAddress = SocketAddress("0.0.0.0", 1)

/** Returns the settings in [file], or all problems found in them. */
public fun readEntrySettings(file: Path): Result<EntrySettings, List<Problem>> =
    readText(file).flatMap(::parseEntrySettings)

/** Returns the settings in the YAML [text], or all problems found in them. */
public fun parseEntrySettings(text: String): Result<EntrySettings, List<Problem>> =
    readYaml(text) { fields, problems -> fields.readSettings(problems) }

private fun YamlFields.readSettings(problems: ProblemCollector) = EntrySettings(
    name = InstanceName(text("name")),
    zone = ZoneName(text("zone")),
    environment = EnvironmentName(text("environment", EnvironmentName.PRODUCTION.value)),
    addresses = EntryAddresses(
        caller = address("callerAddress", problems),
        peer = address("peerAddress", problems),
        advertisedPeer = address("advertisedPeerAddress", problems, default = text("peerAddress", default = "")),
        admin = address("adminAddress", problems),
        platform = address("platformAddress", problems),
    ),
    logFormat = enumValue("logFormat", LogFormat.entries),
    isClientHeaderTrusted = boolean("isClientHeaderTrusted", default = false),
    times = section("times", isRequired = false) { it.readTimes(EntryTimes()) } ?: EntryTimes(),
    limits = section("limits", isRequired = false) { it.readLimits(EntryLimits()) } ?: EntryLimits(),
    membership = section("membership", isRequired = false) { it.readMembership(MembershipSettings()) }
        ?: MembershipSettings(),
)

private fun YamlFields.address(key: String, problems: ProblemCollector, default: String? = null): SocketAddress {
    val text = text(key, default)
    val address = SocketAddress.parse(text)
    if (address == null && text.isNotEmpty()) {
        problems.report(ProblemKind.WRONG_TYPE, getPath(key), "$text is not an IP address and port")
    }
    return address ?: placeholderAddress
}

private fun YamlFields.readTimes(default: EntryTimes) = EntryTimes(
    headPollIntervalMs = ms("headPollMs", default.headPollIntervalMs),
    listPollIntervalMs = ms("listPollMs", default.listPollIntervalMs),
    loadPollIntervalMs = ms("loadPollMs", default.loadPollIntervalMs),
    platformTimeoutMs = ms("platformLimitMs", default.platformTimeoutMs),
    tickIntervalMs = ms("tickMs", default.tickIntervalMs),
    viewIntervalMs = ms("viewMs", default.viewIntervalMs),
    defaultDeadlineMs = ms("defaultDeadlineMs", default.defaultDeadlineMs),
    maxDeadlineMs = ms("largestDeadlineMs", default.maxDeadlineMs),
    exitTimeoutMs = ms("exitLimitMs", default.exitTimeoutMs),
)

private fun YamlFields.readLimits(default: EntryLimits) = EntryLimits(
    largestOpenRequests = count("largestOpenRequests", default.largestOpenRequests),
    largestWaiting = count("largestWaiting", default.largestWaiting),
)

private fun YamlFields.readMembership(default: MembershipSettings) = MembershipSettings(
    heartbeatIntervalMs = ms("heartbeatIntervalMs", default.heartbeatIntervalMs),
    leaseMs = ms("leaseMs", default.leaseMs),
    guardMs = ms("guardMs", default.guardMs),
    joinWaitMs = ms("joinWaitMs", default.joinWaitMs),
    summaryMaxAgeMs = ms("summaryMaxAgeMs", default.summaryMaxAgeMs),
    summaryIntervalMs = ms("summaryIntervalMs", default.summaryIntervalMs),
    delegateCount = count("delegateCount", default.delegateCount),
    summaryMembers = count("summaryMembers", default.summaryMembers),
)

private fun YamlFields.ms(key: String, default: Long): Long = integer(key, 1..MAX_DURATION_MS, default)

private fun YamlFields.count(key: String, default: Int): Int = integer(key, 1..MAX_COUNT, default.toLong()).toInt()
