/*
 * Retry budgets of all services.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.ServiceName

/** Represents the retry budgets of all services on this instance. */
public class RetryBudgets(private val parameters: RetryBudgetParameters) {
    private val byService = HashMap<ServiceName, RetryBudget>()

    /** Returns the retry budget of [service]. */
    public fun getForService(service: ServiceName): RetryBudget =
        byService.getOrPut(service) { RetryBudget(parameters) }
}
