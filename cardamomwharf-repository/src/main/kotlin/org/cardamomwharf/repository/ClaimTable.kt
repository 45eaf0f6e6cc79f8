/*
 * The claim rows in the table service, which ensure that a non-idempotent request runs at most once. This module stores
 * them as opaque text.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result

private const val CLAIMS_TABLE = "claims"

/** Represents the table of claim rows. */
public class ClaimTable(private val tables: TableService) {
    /** Returns the row [key], or null when there is none. */
    public fun read(key: String): Result<TableRow?, PlatformError> = tables.read(CLAIMS_TABLE, key)

    /** Inserts the row unless it exists. */
    public fun insert(key: String, value: String): Result<TableWrite, PlatformError> =
        tables.insert(CLAIMS_TABLE, key, value)

    /** Deletes up to [limit] rows whose last write is at least [unwrittenForSeconds] ago, and returns their number. */
    public fun expire(unwrittenForSeconds: Long, limit: Int): Result<Int, PlatformError> =
        tables.expire(CLAIMS_TABLE, unwrittenForSeconds, limit)

    /** Replaces the row if it still has [version]. */
    public fun replace(key: String, value: String, version: String): Result<TableWrite, PlatformError> =
        tables.replace(CLAIMS_TABLE, key, value, version)
}
