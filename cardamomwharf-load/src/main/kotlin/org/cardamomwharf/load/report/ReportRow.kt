/*
 * One line of a report: what a service got in one case under one routing. The policy bench writes these.
 */
package org.cardamomwharf.load.report

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val PERCENT = 100.0

/**
 * Represents the result of one service in one case.
 *
 * @param meanFreePercent free slots of the fullest region, mean over time.
 * @param largestCapPercent fullest second of any partner's cap.
 * @param drainMs time from a drain to the last work in the drained region, null without a drain.
 */
@Serializable
public data class ReportRow(
    public val objective: String,
    public val case: String,
    public val router: String,
    public val service: String,
    public val offered: Long,
    public val ranInTime: Long,
    public val medianMs: Long,
    public val p95Ms: Long,
    public val meanFreePercent: Double,
    public val largestCapPercent: Double,
    public val drainMs: Long? = null,
) {
    /** Requests that ran before their deadline in percent of those offered. */
    public val goodputPercent: Double get() = ranInTime * PERCENT / offered.coerceAtLeast(1)
}

/** Represents why a report could not be made. */
public sealed interface ReportError {
    /** A file can't be read or written. */
    public data class File(public val path: String) : ReportError

    /** A file doesn't hold results. */
    public data class Contents(public val path: String, public val detail: String) : ReportError
}

private val json = Json { ignoreUnknownKeys = true }

/** Returns the rows in [file]. */
public fun readReportRows(file: Path): Result<List<ReportRow>, ReportError> = try {
    Ok(json.decodeFromString<List<ReportRow>>(Files.readString(file)))
} catch (@Suppress("SwallowedException") e: IOException) {
    Err(ReportError.File(file.toString()))
} catch (e: SerializationException) {
    Err(ReportError.Contents(file.toString(), e.message.orEmpty().lines().first()))
}
