/*
 * Reads the services and the policy of a document.
 */
package org.cardamomwharf.document

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.core.document.Pool
import org.cardamomwharf.core.document.RegionWeight
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.document.yaml.YamlFields
import org.cardamomwharf.document.yaml.section
import org.cardamomwharf.document.yaml.sections

private const val MIN_RETENTION_MINUTES = 60L
private const val MAX_RETENTION_MINUTES = 525_600L
private const val MAX_COUNT = 100_000L
private const val MAX_WEIGHT = 1_000L
private const val MAX_MS = 3_600_000L
private const val MAX_PERCENT = 100L
private const val MAX_RESPONSE_BYTES = 4_194_304L
private const val MAX_WAIT_PERCENT = 10_000L
private const val MAX_ATTEMPTS = 10L
private const val MAX_CANDIDATES = 16L

internal fun YamlFields.readService(): Service = Service(
    name = ServiceName(text("name")),
    isIdempotent = boolean("isIdempotent"),
    weight = integer("weight", 1..MAX_WEIGHT).toInt(),
    expectedServiceMs = integer("expectedServiceMs", 1..MAX_MS),
    expectedResponseBytes = integer("expectedResponseBytes", 0..MAX_RESPONSE_BYTES),
    cacheTtlMs = integer("cacheTtlMs", 0..MAX_MS),
    pools = sections("pools", isRequired = true) { it.readPool() },
    regionWeights = sections("regionWeights", isRequired = false) { it.readRegionWeight() },
)

private fun YamlFields.readPool() = Pool(
    zone = ZoneName(text("zone")),
    upstreams = integer("upstreams", 1..MAX_COUNT).toInt(),
    slotsPerUpstream = integer("slotsPerUpstream", 1..MAX_COUNT).toInt(),
    connectionsPerUpstream = integer("connectionsPerUpstream", 1..MAX_COUNT).toInt(),
)

private fun YamlFields.readRegionWeight() = RegionWeight(
    region = RegionName(text("region")),
    weight = integer("weight", 0..MAX_WEIGHT).toInt(),
)

internal fun YamlFields.readPolicy(): Policy =
    section("policy", isRequired = false) { it.readPolicyFields(Policy()) } ?: Policy()

private fun YamlFields.readPolicyFields(default: Policy) = Policy(
    capReservePercent = percent("capReservePercent", default.capReservePercent),
    capBurstMs = ms("capBurstMs", default.capBurstMs),
    capLookUpPercent = percent("capLookUpPercent", default.capLookUpPercent),
    largestShiftPercent = percent("largestShiftPercent", default.largestShiftPercent),
    shiftIntervalMs = ms("shiftIntervalMs", default.shiftIntervalMs),
    shiftStartPercent = percent("shiftStartPercent", default.shiftStartPercent),
    shiftStopPercent = percent("shiftStopPercent", default.shiftStopPercent),
    measurementMaxAgeMs = ms("measurementMaxAgeMs", default.measurementMaxAgeMs),
    slowStartMs = ms("slowStartMs", default.slowStartMs),
    reservedSlotsPercent = percent("reservedSlotsPercent", default.reservedSlotsPercent),
    largestWaitPercent = integer(
        "largestWaitPercent",
        0..MAX_WAIT_PERCENT,
        default.largestWaitPercent.toLong()
    ).toInt(),
    maxAttempts = integer("maxAttempts", 1..MAX_ATTEMPTS, default.maxAttempts.toLong()).toInt(),
    retryBudgetPercent = percent("retryBudgetPercent", default.retryBudgetPercent),
    keyTtlMs = ms("keyTtlMs", default.keyTtlMs),
    claimRetentionMinutes = integer(
        "claimRetentionMinutes",
        MIN_RETENTION_MINUTES..MAX_RETENTION_MINUTES,
        default.claimRetentionMinutes.toLong(),
    ).toInt(),
    boundBookingsWhenStoreDown = boolean("boundBookingsWhenStoreDown", default.boundBookingsWhenStoreDown),
    lookupCandidates = integer("lookupCandidates", 1..MAX_CANDIDATES, default.lookupCandidates.toLong()).toInt(),
    leaveGraceMs = ms("leaveGraceMs", default.leaveGraceMs),
)

private fun YamlFields.percent(key: String, default: Int): Int =
    integer(key, 0..MAX_PERCENT, default.toLong()).toInt()

private fun YamlFields.ms(key: String, default: Long): Long = integer(key, 0..MAX_MS, default)
