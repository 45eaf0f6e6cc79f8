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

private const val LEAST_RETENTION_MINUTES = 60L
private const val LARGEST_RETENTION_MINUTES = 525_600L
private const val LARGEST_COUNT = 100_000L
private const val LARGEST_WEIGHT = 1_000L
private const val LARGEST_MS = 3_600_000L
private const val LARGEST_PERCENT = 100L
private const val LARGEST_RESPONSE_BYTES = 4_194_304L
private const val LARGEST_WAIT_PERCENT = 10_000L
private const val LARGEST_ATTEMPTS = 10L
private const val LARGEST_CANDIDATES = 16L

internal fun YamlFields.readService(): Service = Service(
    name = ServiceName(text("name")),
    isIdempotent = boolean("isIdempotent"),
    weight = integer("weight", 1..LARGEST_WEIGHT).toInt(),
    expectedServiceMs = integer("expectedServiceMs", 1..LARGEST_MS),
    expectedResponseBytes = integer("expectedResponseBytes", 0..LARGEST_RESPONSE_BYTES),
    cacheTtlMs = integer("cacheTtlMs", 0..LARGEST_MS),
    pools = sections("pools", isRequired = true) { it.readPool() },
    regionWeights = sections("regionWeights", isRequired = false) { it.readWeight() },
)

private fun YamlFields.readPool() = Pool(
    zone = ZoneName(text("zone")),
    upstreams = integer("upstreams", 1..LARGEST_COUNT).toInt(),
    slotsPerUpstream = integer("slotsPerUpstream", 1..LARGEST_COUNT).toInt(),
    connectionsPerUpstream = integer("connectionsPerUpstream", 1..LARGEST_COUNT).toInt(),
)

private fun YamlFields.readWeight() = RegionWeight(
    region = RegionName(text("region")),
    weight = integer("weight", 0..LARGEST_WEIGHT).toInt(),
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
        0..LARGEST_WAIT_PERCENT,
        default.largestWaitPercent.toLong()
    ).toInt(),
    maxAttempts = integer("maxAttempts", 1..LARGEST_ATTEMPTS, default.maxAttempts.toLong()).toInt(),
    retryBudgetPercent = percent("retryBudgetPercent", default.retryBudgetPercent),
    keyTtlMs = ms("keyTtlMs", default.keyTtlMs),
    claimRetentionMinutes = integer(
        "claimRetentionMinutes",
        LEAST_RETENTION_MINUTES..LARGEST_RETENTION_MINUTES,
        default.claimRetentionMinutes.toLong(),
    ).toInt(),
    boundBookingsWhenStoreDown = boolean("boundBookingsWhenStoreDown", default.boundBookingsWhenStoreDown),
    lookupCandidates = integer("lookupCandidates", 1..LARGEST_CANDIDATES, default.lookupCandidates.toLong()).toInt(),
    leaveGraceMs = ms("leaveGraceMs", default.leaveGraceMs),
)

private fun YamlFields.percent(key: String, default: Int): Int =
    integer(key, 0..LARGEST_PERCENT, default.toLong()).toInt()

private fun YamlFields.ms(key: String, default: Long): Long = integer(key, 0..LARGEST_MS, default)
