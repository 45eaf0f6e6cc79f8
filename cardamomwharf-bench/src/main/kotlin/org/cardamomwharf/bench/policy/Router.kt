/*
 * The interface of routers from clients to backend servers: entry instances or a baseline.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a client request. */
public class PolicyRequest(
    public val number: Long,
    public val service: ServiceName,
    public val isIdempotent: Boolean,
    public val zone: ZoneName,
    public val client: String,
    public val deadlineMs: Long,
)

/** Represents the result of a request as its client sees it. */
public enum class RequestResult { RAN, NOT_RUN, UNKNOWN }

/** Routes requests from clients to backend servers. */
public interface Router {
    /** The router name in reports. */
    public val name: String

    /** Prepares the router at the start of a run. */
    public fun start() {
        return
    }

    /** Adopts the current document of the simulation. */
    public fun onDocumentChange() {
        return
    }

    /** Routes [request]; [onResult] receives the result and its reason when they reach the client. */
    public fun route(request: PolicyRequest, onResult: (RequestResult, String) -> Unit)
}
