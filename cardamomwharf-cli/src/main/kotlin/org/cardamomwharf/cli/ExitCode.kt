/*
 * Exit codes of the command line, one for each kind of failure.
 */
package org.cardamomwharf.cli

/** Represents the exit code of a command. */
public enum class ExitCode {
    OK,
    USAGE,
    INVALID,
    CONFLICT,
    PLATFORM,
    UNSETTLED,
    MISSING,
    UNREACHABLE,
    ;

    /** The exit status of the process; 1 is skipped because the JVM uses it for uncaught exceptions. */
    public val number: Int get() = if (this == OK) 0 else ordinal + 1
}
