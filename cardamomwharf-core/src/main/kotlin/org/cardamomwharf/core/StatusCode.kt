/*
 * The HTTP status codes of the responses of the system.
 */
package org.cardamomwharf.core

/** Defines the HTTP status codes in use. */
public object StatusCode {
    /** 200 OK. */
    public const val OK: Int = 200

    /** 201 Created. */
    public const val CREATED: Int = 201

    /** 204 No Content. */
    public const val NO_CONTENT: Int = 204

    /** 400 Bad Request. */
    public const val BAD_REQUEST: Int = 400

    /** 401 Unauthorized. */
    public const val UNAUTHORIZED: Int = 401

    /** 404 Not Found. */
    public const val NOT_FOUND: Int = 404

    /** 409 Conflict. */
    public const val CONFLICT: Int = 409

    /** 412 Precondition Failed. */
    public const val PRECONDITION_FAILED: Int = 412

    /** 413 Content Too Large. */
    public const val CONTENT_TOO_LARGE: Int = 413

    /** 421 Misdirected Request. */
    public const val MISDIRECTED: Int = 421

    /** 422 Unprocessable Content. */
    public const val UNPROCESSABLE: Int = 422

    /** 429 Too Many Requests. */
    public const val TOO_MANY_REQUESTS: Int = 429

    /** 431 Request Header Fields Too Large. */
    public const val HEAD_TOO_LARGE: Int = 431

    /** 499, the non-standard status of a request whose caller closed the connection. */
    public const val CALLER_CLOSED: Int = 499

    /** 500 Internal Server Error. */
    public const val INTERNAL_ERROR: Int = 500

    /** 502 Bad Gateway. */
    public const val BAD_GATEWAY: Int = 502

    /** 503 Service Unavailable. */
    public const val UNAVAILABLE: Int = 503

    /** 504 Gateway Timeout. */
    public const val GATEWAY_TIMEOUT: Int = 504
}
