/*
 * The failures of a command, each with its exit code and its message.
 */
package org.cardamomwharf.cli

import org.cardamomwharf.core.document.DrainProblem
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.repository.HeadEntry
import org.cardamomwharf.repository.PlatformError
import org.cardamomwharf.repository.RepositoryError

/** Represents why a command failed. */
public sealed interface CommandError {
    /** The exit code of the command. */
    public val exitCode: ExitCode

    /** The message for the operator. */
    public val text: String

    /** The document is invalid. */
    public data class Invalid(public val file: String, public val problems: List<Problem>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String get() = problems.joinToString("\n") { "$file:$it" }
    }

    /** The environment's current version is not the expected one, as another operator changed it first. */
    public data class Conflict(public val winner: HeadEntry?) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val text: String
            get() = if (winner == null) {
                "Nothing was changed: the environment is empty."
            } else {
                "Nothing was changed: version ${winner.version.value} of ${winner.operator} is in force."
            }
    }

    /** The change may or may not have been applied, as the response of the platform was lost. */
    public data class OutcomeUnknown(public val attempt: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.UNSETTLED
        override val text: String
            get() = "It is unknown whether the change was applied. Run the command again with --attempt $attempt."
    }

    /** A request to the platform failed. */
    public data class Platform(public val cause: PlatformError) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.PLATFORM
        override val text: String
            get() = when (cause) {
                is PlatformError.Unreachable -> "The platform is unreachable. Nothing was changed."
                is PlatformError.Lost -> "The connection to the platform was lost before its response."
                is PlatformError.Rejected -> "The platform responded with status ${cause.status}."
            }
    }

    /** The requested drains are invalid for the current document. */
    public data class DrainsInvalid(public val problems: List<DrainProblem>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String
            get() = "Nothing was changed: " + problems.joinToString { describe(it) } + "."

        private fun describe(problem: DrainProblem): String = when (problem) {
            is DrainProblem.UnknownZone -> "no zone named ${problem.zone.value}"
            is DrainProblem.UnknownService -> "no service named ${problem.service.value}"
            is DrainProblem.EndsBeforeStart -> "a drain must end after its start"
        }
    }

    /** The document removes zones that were not stopped, so that their instances may still consume caps. */
    public data class ZonesNotStopped(public val zones: List<String>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String
            get() = "Nothing was changed: ${zones.joinToString()} would be removed but not listed in stoppedZones."
    }

    /** A document, version, service or client block does not exist; [subject] says which. */
    public data class Missing(public val subject: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.MISSING
        override val text: String get() = "There is no $subject."
    }

    /** An entry instance did not respond. */
    public data class Unreachable(public val address: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val text: String get() = "No response from the entry instance at $address."
    }
}

internal fun commandErrorFor(error: RepositoryError): CommandError = when (error) {
    is RepositoryError.Conflict -> CommandError.Conflict(error.winner)
    is RepositoryError.Platform -> CommandError.Platform(error.cause)
    is RepositoryError.OutcomeUnknown -> CommandError.OutcomeUnknown(error.attempt.value)
    is RepositoryError.Missing -> CommandError.Missing("document in ${error.environment.value}")
    is RepositoryError.HashMismatch -> CommandError.Missing("intact document under ${error.hash}")
}
