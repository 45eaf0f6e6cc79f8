/*
 * Limits on hedged requests: second attempts that start while the first one is still pending. The operators set them in
 * the settings.
 */
package org.cardamomwharf.steering.hedging

/**
 * Represents the limits on hedged requests.
 *
 * @param maxShare maximum share of hedges among all attempts of an instance; 0 switches hedging off.
 */
public data class HedgingParameters(public val maxShare: Double = 0.0)
