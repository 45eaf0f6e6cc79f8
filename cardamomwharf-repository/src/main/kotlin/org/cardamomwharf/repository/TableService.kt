/*
 * The platform's transactional table service as the system uses it: single rows, written only under a condition. Its
 * answers can be lost after the write took effect, so every write carries an attempt that a later read finds again.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result

/** Represents a row with the version that a conditional write names. */
public data class TableRow(public val value: String, public val version: String)

/** Represents what a conditional write did. */
public sealed interface TableWrite {
    /** The write took effect. */
    public data class Written(public val version: String) : TableWrite

    /** The condition did not hold; [row] is the row as it is, or null when there is none. */
    public data class Conflict(public val row: TableRow?) : TableWrite
}

/** Represents why the platform gave no answer. */
public sealed interface PlatformError {
    /** Nothing was sent; a write did not take effect. */
    public data object Unreachable : PlatformError

    /** The answer got lost; a write may have taken effect or may yet. */
    public data object Lost : PlatformError

    /** The platform answered something unexpected. */
    public data class Rejected(public val status: Int) : PlatformError
}

/** Represents the table service. */
public interface TableService {
    /** Returns the row [key] of [table], or null when there is none. */
    public fun read(table: String, key: String): Result<TableRow?, PlatformError>

    /** Inserts the row unless it exists. */
    public fun insert(table: String, key: String, value: String): Result<TableWrite, PlatformError>

    /**
     * Deletes up to [limit] rows of [table] that weren't written for [unwrittenForSeconds], and returns how many. After
     * a lost answer the call may be made again.
     */
    public fun expire(table: String, unwrittenForSeconds: Long, limit: Int): Result<Int, PlatformError>

    /** Replaces the row if it still has [version]. */
    public fun replace(table: String, key: String, value: String, version: String): Result<TableWrite, PlatformError>
}
