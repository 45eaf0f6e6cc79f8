/*
 * Exit codes by kind of failure, for programs that call the command line.
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

    /** The number that the process ends with; 1 is left to the virtual machine. */
    public val number: Int get() = if (this == OK) 0 else ordinal + 1
}
