/*
 * Reasons why a request can't be written for any backend server.
 */
package org.cardamomwharf.forward.server

/** Represents why a head can't be generated. */
public sealed interface HeadError {
    /** The generator didn't complete the head and returned [result]. */
    public data class Incomplete(public val result: String) : HeadError

    /** A part of the request can't be expressed in HTTP/1.1. */
    public data class Invalid(public val cause: RuntimeException) : HeadError
}
