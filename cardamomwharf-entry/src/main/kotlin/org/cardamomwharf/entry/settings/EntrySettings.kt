/*
 * The settings of one entry process. They say where it is and whom it asks; everything about traffic is in the
 * document.
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
 * @param isClientHeaderTrusted true when callers' proxies name the client in `Wharf-Client`.
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
 * @param advertisedPeer where peers reach [peer]; it differs where addresses are translated on the way.
 */
public data class EntryAddresses(
    public val caller: SocketAddress,
    public val peer: SocketAddress,
    public val advertisedPeer: SocketAddress,
    public val admin: SocketAddress,
    public val platform: SocketAddress,
)

/**
 * Represents how often an entry process asks others, and how long it waits.
 *
 * @param exitLimitMs time after which a leaving process ends even if requests are open.
 */
public data class EntryTimes(
    public val headPollMs: Long = 5_000,
    public val listPollMs: Long = 5_000,
    public val loadPollMs: Long = 1_000,
    public val platformLimitMs: Long = 1_500,
    public val tickMs: Long = 20,
    public val viewMs: Long = 100,
    public val defaultDeadlineMs: Long = 5_000,
    public val largestDeadlineMs: Long = 60_000,
    public val exitLimitMs: Long = 90_000,
)
