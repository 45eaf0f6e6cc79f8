/*
 * What tests ask of the result of a load run.
 */
package org.cardamomwharf.dist.support

import org.cardamomwharf.load.LoadResult
import org.cardamomwharf.load.ServiceResult

private fun LoadResult.of(service: String): ServiceResult = services.first { it.service == service }

fun LoadResult.ranOf(service: String): Long = of(service).ran

fun LoadResult.requestsOf(service: String): Long = of(service).requests

fun LoadResult.endsOf(service: String): Map<String, Long> = of(service).outcomes
