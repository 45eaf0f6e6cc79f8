/*
 * Names of the HTTP header fields that callers, entry instances and backend servers exchange.
 */
package org.cardamomwharf.core

/** Holds the names of the header fields that the system reads and writes. */
public object HeaderNames {
    /** The remaining time of the request in milliseconds. */
    public const val DEADLINE_MS: String = "Wharf-Deadline-Ms"

    /** The idempotency key, which the caller chooses for each operation. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** The incarnation and the issue time to which a key is bound while the table service is down. */
    public const val BINDING: String = "Wharf-Binding"

    /** The outcome of the request: `ran`, `not-run` or `unknown`. */
    public const val OUTCOME: String = "Wharf-Outcome"

    /** The reason code of the outcome. */
    public const val REASON: String = "Wharf-Reason"

    /** The entry instance that sent the response. */
    public const val ENTRY: String = "Wharf-Entry"

    /** The attempt that a backend server handles; backend servers that support the field return it. */
    public const val ATTEMPT: String = "Wharf-Attempt"

    /** `true` when the backend server is leaving. */
    public const val LEAVING: String = "Wharf-Leaving"

    /** `true` when the backend server refused the request and did not run it. */
    public const val REFUSED: String = "Wharf-Refused"

    /** The delay in seconds after which a refused request may be sent again. */
    public const val RETRY_AFTER: String = "Retry-After"
}
