/*
 * Exchanges with other instances how many requests teams with a limit send, and logs which teams are limited here.
 */
package org.cardamomwharf.gateway.peers

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.forward.proxy.SynchronizedSteering
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.OutgoingHeartbeat
import org.cardamomwharf.steering.teams.limits.LimitChange
import org.cardamomwharf.steering.teams.limits.TeamLimitMessage

internal class TeamLimitExchange(
    private val steering: SynchronizedSteering,
    private val zone: ZoneName,
    private val log: DecisionLog,
) {
    /**
     * Adds to the regular [heartbeats] what this instance knows; the instance that watches the store for its zone sends
     * the sums of zones, the others report to it.
     */
    fun addTo(heartbeats: List<OutgoingHeartbeat>, isWatcher: Boolean): List<OutgoingHeartbeat> {
        val (messages, changes) = steering.withLock { decisions, nowMs ->
            val limits = decisions.teamLimits
            limits.setTeams(decisions.routes.desired?.teams.orEmpty())
            val messages = when {
                !limits.isActive -> null
                isWatcher -> limits.sums(heartbeats.any { it.isToOtherZones() }, nowMs)
                else -> limits.reports(nowMs)
            }
            messages to limits.changes.take(nowMs)
        }
        changes.forEach(::record)
        if (messages == null) return heartbeats
        return heartbeats.map { if (it.isToRandomInstances()) it else it.with(messages) }
    }

    /** Returns the messages to send at once to the recipients of the [notification], or nothing when none are due. */
    fun takePrompt(notification: () -> OutgoingHeartbeat?): List<OutgoingHeartbeat> {
        val messages = steering.withLock { decisions, nowMs ->
            decisions.teamLimits.takeIf { it.isPromptDue(nowMs) }?.sums(isToOtherZones = true, nowMs)
        }
        val due = messages?.let { notification() } ?: return emptyList()
        return due.recipients.groupBy { it.zone }.values
            .map { OutgoingHeartbeat(it, HeartbeatMessage(due.message.sender)).with(messages) }
    }

    /** Processes a [message] of another instance; returns true when messages may be due at once. */
    fun receive(message: HeartbeatMessage): Boolean {
        val sums = message.teamLimits ?: return false
        val sender = message.sender.record
        steering.withLock { decisions, nowMs -> decisions.teamLimits.receive(sender.name, sender.zone, sums, nowMs) }
        return sums.own != null || sender.zone != zone
    }

    private fun OutgoingHeartbeat.isToRandomInstances() =
        message.storeStatus == null && message.counts.isNotEmpty()

    private fun OutgoingHeartbeat.isToOtherZones() = message.storeStatus != null && recipients.any { it.zone != zone }

    private fun OutgoingHeartbeat.with(messages: Pair<TeamLimitMessage?, TeamLimitMessage?>): OutgoingHeartbeat {
        val teamLimits = if (recipients.all { it.zone == zone }) messages.first else messages.second
        return copy(message = message.copy(teamLimits = teamLimits))
    }

    private fun record(change: LimitChange) = log.event(if (change.isLimited) "team-limited" else "team-unlimited") {
        put("team", change.team.value)
        put("fraction", change.fraction)
        put("refused", change.refused)
    }
}
