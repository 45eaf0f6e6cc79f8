/*
 * Encodes and decodes what heartbeats state about the requests of teams. They are sent twice a second and between
 * zones, and most of them are small numbers, so they are written as variable-length integers. Requests that weren't
 * sent are written instead of those that were asked: usually there are none.
 */
package org.cardamomwharf.gateway.peers

import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.teams.limits.TeamDemand
import org.cardamomwharf.steering.teams.limits.TeamLimitMessage
import org.cardamomwharf.steering.teams.limits.ZoneDemand
import java.io.ByteArrayOutputStream
import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

private const val GROUP_BITS = 7
private const val GROUP_MASK = 0x7F
private const val MORE = 0x80

/** Bytes that hold the number of a team. */
private const val TEAM_ID_BYTES = 3

/** Maximum number of bits of a number; none is larger than an Int. */
private const val MAX_BITS = 31

internal fun encodeTeamLimits(message: TeamLimitMessage): ByteArray {
    val out = ByteArrayOutputStream()
    out.writeNumber(if (message.own == null) 0 else 1)
    message.own?.let { out.writeTeams(it) }
    message.zones.forEach { zone ->
        val name = zone.zone.value.encodeToByteArray()
        out.writeNumber(name.size)
        out.write(name)
        out.writeNumber(zone.ageMs.coerceIn(0, Int.MAX_VALUE.toLong()).toInt())
        out.writeNumber(zone.instanceCount)
        out.writeTeams(zone.teams)
    }
    return out.toByteArray()
}

/** Decodes [bytes]; returns null when they are malformed. */
internal fun decodeTeamLimits(bytes: ByteArray): TeamLimitMessage? = try {
    val buffer = ByteBuffer.wrap(bytes)
    val own = if (buffer.readNumber() == 1) buffer.readTeams() else null
    val zones = ArrayList<ZoneDemand>()
    while (buffer.hasRemaining()) zones += buffer.readZone()
    TeamLimitMessage(own, zones)
} catch (_: BufferUnderflowException) {
    null
}

private fun ByteArrayOutputStream.writeTeams(teams: List<TeamDemand>) {
    writeNumber(teams.size)
    teams.forEach { team ->
        repeat(TEAM_ID_BYTES) { write(team.teamId ushr it * Byte.SIZE_BITS) }
        writeNumber(team.sent)
        writeNumber((team.asked - team.sent).coerceAtLeast(0))
    }
}

private fun ByteArrayOutputStream.writeNumber(number: Int) {
    var rest = number
    while (rest > GROUP_MASK) {
        write(rest and GROUP_MASK or MORE)
        rest = rest ushr GROUP_BITS
    }
    write(rest)
}

private fun ByteBuffer.readZone(): ZoneDemand {
    val name = ByteArray(readSize()).also { get(it) }
    return ZoneDemand(ZoneName(name.decodeToString()), readNumber().toLong(), readNumber(), readTeams())
}

private fun ByteBuffer.readTeams(): List<TeamDemand> = List(readSize()) {
    var teamId = 0
    repeat(TEAM_ID_BYTES) { index -> teamId = teamId or (readByte() shl index * Byte.SIZE_BITS) }
    val sent = readNumber()
    TeamDemand(teamId, sent + readNumber().coerceAtMost(Int.MAX_VALUE - sent), sent)
}

/** Reads a number of elements; each takes at least one byte, so a larger number than there are bytes is malformed. */
private fun ByteBuffer.readSize(): Int = readNumber().also { if (it > remaining()) throw BufferUnderflowException() }

private fun ByteBuffer.readNumber(): Int {
    var number = 0L
    var shift = 0
    do {
        val next = readByte()
        number = number or ((next and GROUP_MASK).toLong() shl shift)
        shift += GROUP_BITS
    } while (next and MORE != 0 && shift < MAX_BITS)
    return number.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}

private fun ByteBuffer.readByte(): Int = get().toInt() and (GROUP_MASK or MORE)
