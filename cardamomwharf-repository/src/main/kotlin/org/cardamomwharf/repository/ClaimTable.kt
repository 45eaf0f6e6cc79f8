/*
 * The rows that make non-idempotent requests run at most once, kept in the table service as plain text that this module
 * doesn't look into.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result

private const val CLAIMS = "claims"

/** Represents the claim rows. */
public class ClaimTable(private val tables: TableService) {
    /** Returns the row [key], or null when there is none. */
    public fun read(key: String): Result<TableRow?, PlatformError> = tables.read(CLAIMS, key)

    /** Inserts the row unless it exists. */
    public fun insert(key: String, value: String): Result<TableWrite, PlatformError> =
        tables.insert(CLAIMS, key, value)

    /** Deletes up to [limit] rows that weren't written for [unwrittenForSeconds], and returns how many. */
    public fun expire(unwrittenForSeconds: Long, limit: Int): Result<Int, PlatformError> =
        tables.expire(CLAIMS, unwrittenForSeconds, limit)

    /** Replaces the row if it still has [version]. */
    public fun replace(key: String, value: String, version: String): Result<TableWrite, PlatformError> =
        tables.replace(CLAIMS, key, value, version)
}
