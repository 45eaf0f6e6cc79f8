/*
 * The errors of calls to the platform.
 */
package org.cardamomwharf.repository

/** Represents why a call to the platform failed. */
public sealed interface PlatformError {
    /** The request was not sent; a write did not take effect. */
    public data object Unreachable : PlatformError

    /** The response was lost; a write may have taken effect or may still do so. */
    public data object Lost : PlatformError

    /** The platform sent an unexpected response. */
    public data class Rejected(public val status: Int) : PlatformError
}
