/*
 * Prints the result of a command as text or as JSON; failures go to standard error in either format.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/** Represents the output of a successful command as text and as JSON. */
public class Report(public val text: String, public val json: JsonElement)

/** Prints the result of a command and returns its exit code. */
public fun printResult(result: Result<Report, CommandError>, isJson: Boolean): ExitCode = result.mapBoth(
    success = { report ->
        println(if (isJson) report.json.toString() else report.text)
        ExitCode.OK
    },
    failure = { error ->
        System.err.println(if (isJson) formatJson(error).toString() else error.text)
        error.exitCode
    },
)

private fun formatJson(error: CommandError) = buildJsonObject {
    put("error", JsonPrimitive(error.exitCode.name.lowercase()))
    put("text", JsonPrimitive(error.text))
    if (error is CommandError.Conflict && error.winner != null) {
        put("winnerVersion", JsonPrimitive(error.winner.version.value))
        put("winnerOperator", JsonPrimitive(error.winner.operator))
    }
}
