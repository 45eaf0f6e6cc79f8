/*
 * The budget of repeats of each service.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.ServiceName

/** Represents the budgets of all services at this instance. */
public class RetryBudgets(private val parameters: RetryBudgetParameters) {
    private val byService = HashMap<ServiceName, RetryBudget>()

    /** Returns the budget of [service]. */
    public fun getForService(service: ServiceName): RetryBudget =
        byService.getOrPut(service) { RetryBudget(parameters) }
}
