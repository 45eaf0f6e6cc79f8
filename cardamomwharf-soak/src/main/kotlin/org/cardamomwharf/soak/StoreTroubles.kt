/*
 * Injects faults into the store, and writes what operators write.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.platform.standin.StoreFaults
import org.cardamomwharf.platform.standin.setEvacuated

private const val SLOW_STORE_MS = 400L
private const val LOST_EVERY = 2

internal class StoreTroubles(private val world: SoakWorld, private val record: SoakRecord) {
    fun inject(fault: Fault.OfStore) {
        when (fault) {
            is Fault.StoreTrouble -> disturb("${fault.kind}", fault.forMs) { trouble(fault) }
            is Fault.ForgetHistory -> disturb("history", 0) { world.store.clearHistory() }
            is Fault.Reconfigure -> world.reconfigure()
            is Fault.Evacuate -> evacuate(world.gateways[fault.target % world.gateways.size].zone, fault.forMs)
        }
    }

    private fun trouble(fault: Fault.StoreTrouble) {
        world.store.faults = when (fault.kind) {
            StoreKind.REFUSING -> StoreFaults(isRefusing = true)
            StoreKind.SLOW -> StoreFaults(delayMs = SLOW_STORE_MS)
            StoreKind.LOSING -> StoreFaults(lostResponseInterval = LOST_EVERY)
        }
        Thread.sleep(fault.forMs)
        world.store.faults = StoreFaults()
    }

    private fun evacuate(zone: String, forMs: Long) {
        world.store.setEvacuated(ZoneName(zone), true)
        Thread.sleep(forMs)
        world.store.setEvacuated(ZoneName(zone), false)
    }

    private fun disturb(what: String, forMs: Long, act: () -> Unit) =
        record.disturb(world.clock::nowMs, Disturbed(SoakRecord.STORE, what, forMs), act)
}
