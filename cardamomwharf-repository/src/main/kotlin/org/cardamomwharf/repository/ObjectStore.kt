/*
 * The platform's object store, which holds immutable contents named by their hash.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result

/** Represents the object store. */
public interface ObjectStore {
    /** Returns the object [name], or null when there is none. */
    public fun read(name: String): Result<ByteArray?, PlatformError>

    /** Writes the object [name]; writing the same contents again changes nothing. */
    public fun write(name: String, contents: ByteArray): Result<Unit, PlatformError>
}
