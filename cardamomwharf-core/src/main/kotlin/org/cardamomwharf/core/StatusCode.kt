/*
 * The HTTP status codes that answers of the system carry.
 */
package org.cardamomwharf.core

/** Holds the HTTP status codes in use. */
public object StatusCode {
    /** Represents the status 200. */
    public const val OK: Int = 200

    /** Represents the status 201. */
    public const val CREATED: Int = 201

    /** Represents the status 204. */
    public const val NO_CONTENT: Int = 204

    /** Represents the status 400. */
    public const val BAD_REQUEST: Int = 400

    /** Represents the status 404. */
    public const val NOT_FOUND: Int = 404

    /** Represents the status 409. */
    public const val CONFLICT: Int = 409

    /** Represents the status 412. */
    public const val PRECONDITION_FAILED: Int = 412

    /** Represents the status 413. */
    public const val CONTENT_TOO_LARGE: Int = 413

    /** Represents the status 421. */
    public const val MISDIRECTED: Int = 421

    /** Represents the status 422. */
    public const val UNPROCESSABLE: Int = 422

    /** Represents the status 431. */
    public const val HEAD_TOO_LARGE: Int = 431

    /** Represents the status 499. */
    public const val CALLER_CLOSED: Int = 499

    /** Represents the status 500. */
    public const val INTERNAL_ERROR: Int = 500

    /** Represents the status 502. */
    public const val BAD_GATEWAY: Int = 502

    /** Represents the status 503. */
    public const val UNAVAILABLE: Int = 503

    /** Represents the status 504. */
    public const val GATEWAY_TIMEOUT: Int = 504
}
