/*
 * The platform's transactional table service. It stores single rows, which are written only under a condition. A
 * response can be lost after the write took effect, so every write contains an attempt that a later read can find.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result

/** Represents a row with its version, which is the condition of the next write. */
public data class TableRow(public val value: String, public val version: String)

/** Represents the result of a conditional write. */
public sealed interface TableWrite {
    /** The write took effect. */
    public data class Written(public val version: String) : TableWrite

    /** The condition was not met; [row] is the current row, or null when there is none. */
    public data class Conflict(public val row: TableRow?) : TableWrite
}

/** Represents the table service. */
public interface TableService {
    /** Returns the row [key] of [table], or null when there is none. */
    public fun read(table: String, key: String): Result<TableRow?, PlatformError>

    /** Inserts the row unless it exists. */
    public fun insert(table: String, key: String, value: String): Result<TableWrite, PlatformError>

    /**
     * Deletes up to [limit] rows of [table] whose last write is at least [unwrittenForSeconds] ago, and returns their
     * number. After a lost response the call may be repeated.
     */
    public fun expire(table: String, unwrittenForSeconds: Long, limit: Int): Result<Int, PlatformError>

    /** Replaces the row if it still has [version]. */
    public fun replace(table: String, key: String, value: String, version: String): Result<TableWrite, PlatformError>
}
