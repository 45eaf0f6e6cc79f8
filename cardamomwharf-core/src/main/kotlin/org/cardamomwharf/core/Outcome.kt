/*
 * Every answer to a caller names its outcome and the reason. The outcome tells what a caller may do next: after
 * NOT_RUN it may repeat the request elsewhere, after UNKNOWN it may only repeat what is idempotent.
 */
package org.cardamomwharf.core

/** Represents what happened to a request. */
public enum class Outcome(public val code: String) {
    /** A backend server ran the request and its whole answer follows. */
    RAN("ran"),

    /** No backend server ran the request, nor will one. */
    NOT_RUN("not-run"),

    /** A backend server may have run the request. */
    UNKNOWN("unknown"),
}
