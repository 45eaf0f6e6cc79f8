/*
 * A row of a report, read from the result files that the policy bench writes.
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
 * Represents the result of one service in one case with one router.
 *
 * @param meanFreePercent percentage of free slots in the busiest region, averaged over time.
 * @param largestCapPercent highest usage of any partner's cap within one second.
 * @param drainMs time from the drain to the end of the last request in the drained region, or null without a drain.
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
    /** The percentage of offered requests that ran before their deadline. */
    public val goodputPercent: Double get() = ranInTime * PERCENT / offered.coerceAtLeast(1)
}

/** Represents why a report cannot be created. */
public sealed interface ReportError {
    /** The file cannot be read. */
    public data class File(public val path: String) : ReportError

    /** The file does not contain results. */
    public data class Contents(public val path: String, public val detail: String) : ReportError
}

private val json = Json { ignoreUnknownKeys = true }

/** Reads the rows from [file]. */
public fun readReportRows(file: Path): Result<List<ReportRow>, ReportError> = try {
    Ok(json.decodeFromString<List<ReportRow>>(Files.readString(file)))
} catch (@Suppress("SwallowedException") e: IOException) {
    Err(ReportError.File(file.toString()))
} catch (e: SerializationException) {
    Err(ReportError.Contents(file.toString(), e.message.orEmpty().lines().first()))
}
