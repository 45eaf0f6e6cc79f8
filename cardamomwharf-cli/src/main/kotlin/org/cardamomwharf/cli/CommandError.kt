/*
 * Every failure of a command, with its exit code and the text for people.
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

    /** The text for people. */
    public val text: String

    /** The document has problems. */
    public data class Invalid(public val file: String, public val problems: List<Problem>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String get() = problems.joinToString("\n") { "$file:$it" }
    }

    /** Another operator was faster. */
    public data class Conflict(public val winner: HeadEntry?) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.CONFLICT
        override val text: String
            get() = if (winner == null) {
                "Nothing was changed: the environment is empty."
            } else {
                "Nothing was changed: version ${winner.version.value} of ${winner.operator} is in force."
            }
    }

    /** The platform does not tell whether the change took effect. */
    public data class Unsettled(public val attempt: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.UNSETTLED
        override val text: String
            get() = "It isn't known yet whether the change took effect. Run the command again with --attempt $attempt."
    }

    /** The platform could not be asked. */
    public data class Platform(public val cause: PlatformError) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.PLATFORM
        override val text: String
            get() = when (cause) {
                is PlatformError.Unreachable -> "The platform can't be reached. Nothing was changed."
                is PlatformError.Lost -> "The platform didn't answer."
                is PlatformError.Rejected -> "The platform answered with status ${cause.status}."
            }
    }

    /** The drains that were asked for don't fit the document in force. */
    public data class DrainsInvalid(public val faults: List<DrainProblem>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String
            get() = "Nothing was changed: " + faults.joinToString { textOf(it) } + "."

        private fun textOf(fault: DrainProblem): String = when (fault) {
            is DrainProblem.UnknownZone -> "no zone named ${fault.zone.value}"
            is DrainProblem.UnknownService -> "no service named ${fault.service.value}"
            is DrainProblem.EndsBeforeStart -> "a drain must end after its start"
        }
    }

    /** The document leaves zones out whose instances may still spend caps. */
    public data class ZonesNotStopped(public val zones: List<String>) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.INVALID
        override val text: String
            get() = "Nothing was changed: ${zones.joinToString()} would be left out without being in stoppedZones."
    }

    /** What was named doesn't exist. */
    public data class Missing(public val what: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.MISSING
        override val text: String get() = "There is no $what."
    }

    /** An entry instance didn't answer. */
    public data class Unreachable(public val address: String) : CommandError {
        override val exitCode: ExitCode get() = ExitCode.UNREACHABLE
        override val text: String get() = "No answer from the entry instance at $address."
    }
}

internal fun commandErrorOf(error: RepositoryError): CommandError = when (error) {
    is RepositoryError.Conflict -> CommandError.Conflict(error.winner)
    is RepositoryError.Platform -> CommandError.Platform(error.cause)
    is RepositoryError.OutcomeUnknown -> CommandError.Unsettled(error.attempt.value)
    is RepositoryError.Missing -> CommandError.Missing("document in ${error.environment.value}")
    is RepositoryError.HashMismatch -> CommandError.Missing("intact document under ${error.hash}")
}
