/*
 * Settings of one entry process: its location, addresses, intervals and limits. Traffic is configured in the document.
 */
package org.cardamomwharf.entry.settings

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.logging.LogFormat
import org.cardamomwharf.repository.EnvironmentName

/**
 * Represents the settings of an entry process.
 *
 * @param isClientHeaderTrusted true if the proxies of callers set the client address in the header `Wharf-Client`.
 */
public data class EntrySettings(
    public val name: InstanceName,
    public val zone: ZoneName,
    public val environment: EnvironmentName,
    public val addresses: EntryAddresses,
    public val logFormat: LogFormat,
    public val isClientHeaderTrusted: Boolean,
    public val times: EntryTimes = EntryTimes(),
    public val limits: EntryLimits = EntryLimits(),
    public val membership: MembershipSettings = MembershipSettings(),
)

/**
 * Represents the addresses of an entry process and of the platform.
 *
 * @param advertisedPeer address at which peers reach [peer]; it differs from [peer] behind address translation.
 */
public data class EntryAddresses(
    public val caller: SocketAddress,
    public val peer: SocketAddress,
    public val advertisedPeer: SocketAddress,
    public val admin: SocketAddress,
    public val platform: SocketAddress,
)

/**
 * Represents the polling intervals, update intervals and timeouts of an entry process.
 *
 * @param exitTimeoutMs time after which a leaving process exits even if requests are open.
 */
public data class EntryTimes(
    public val headPollIntervalMs: Long = 5_000,
    public val listPollIntervalMs: Long = 5_000,
    public val loadPollIntervalMs: Long = 1_000,
    public val platformTimeoutMs: Long = 1_500,
    public val tickIntervalMs: Long = 20,
    public val viewIntervalMs: Long = 100,
    public val defaultDeadlineMs: Long = 5_000,
    public val maxDeadlineMs: Long = 60_000,
    public val exitTimeoutMs: Long = 90_000,
)
