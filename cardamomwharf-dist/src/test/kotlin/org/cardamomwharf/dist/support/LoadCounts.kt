/*
 * Accessors for the counts of a service in the result of a load run.
 */
package org.cardamomwharf.dist.support

import org.cardamomwharf.load.LoadResult
import org.cardamomwharf.load.ServiceResult

private fun LoadResult.getService(service: String): ServiceResult = services.first { it.service == service }

fun LoadResult.getRanCount(service: String): Long = getService(service).ran

fun LoadResult.getRequestCount(service: String): Long = getService(service).requests

fun LoadResult.getOutcomeCounts(service: String): Map<String, Long> = getService(service).outcomes
