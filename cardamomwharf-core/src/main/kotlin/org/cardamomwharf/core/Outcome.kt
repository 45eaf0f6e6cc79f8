/*
 * Every response to a caller states the outcome and its reason. The outcome determines what the caller may do next:
 * after NOT_RUN it may send the request to another instance, after UNKNOWN it may repeat only an idempotent request.
 */
package org.cardamomwharf.core

/** Represents what happened to a request. */
public enum class Outcome(public val code: String) {
    /** A backend server ran the request and the response is complete. */
    RAN("ran"),

    /** No backend server has run the request or will run it. */
    NOT_RUN("not-run"),

    /** A backend server may have run the request. */
    UNKNOWN("unknown"),
}
