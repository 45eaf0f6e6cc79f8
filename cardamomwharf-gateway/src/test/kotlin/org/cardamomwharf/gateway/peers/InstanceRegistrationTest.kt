/*
 * Tests that instances stay registered when the store loses registrations in a restore, and when responses are lost. In
 * virtual time, without a network.
 */
package org.cardamomwharf.gateway.peers

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.support.InMemoryHttpClient
import org.cardamomwharf.platform.createPlatformStore
import org.cardamomwharf.platform.standin.StoreStandin
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.InstanceRegistry

private val clock = Clock { 0 }

private class Registrant(name: String, store: StoreStandin, epoch: () -> Long) {
    val own = InstanceRecord(
        InstanceName(name),
        ZoneName("z"),
        SocketAddress("10.0.0.1", 80),
        SocketAddress("10.0.0.1", 90),
    )
    var calls = 0
        private set
    val client = InMemoryHttpClient({ store.handler(it) }) { calls++ }
    val platformStore = createPlatformStore(client, SocketAddress("10.0.0.1", 7_000)) { _, _ -> }
    val peers = PeerList(own, InstanceRegistry(own, Incarnation(1), 4_000), clock)
    val registration = InstanceRegistration(platformStore, own, peers, DecisionLog(clock), epoch)

    fun registered() = platformStore.instances.read().get()?.entries.orEmpty().map { it.key }
}

class InstanceRegistrationTest : FunSpec({
    // Guards against instances that a restored store has forgotten, so that later ones never hear of them.
    test("`instances that a restored store has forgotten register again and find each other`") {
        val store = StoreStandin()
        val empty = store.copy()
        var epoch = 1L
        val (first, second) = listOf("a", "b").map { Registrant(it, store) { epoch } }
        repeat(2) {
            first.registration.step()
            second.registration.step()
            first.registered() shouldContainExactlyInAnyOrder listOf("a", "b")
            store.restore(empty)
            first.registered() shouldBe emptyList()
            epoch++
        }
        first.registration.step()
        second.registration.step()
        first.registered() shouldContainExactlyInAnyOrder listOf("a", "b")
        second.peers.others().map { it.name.value } shouldBe listOf("a")
    }

    test("`a registration whose response was lost before a restore is made again`") {
        val store = StoreStandin()
        val empty = store.copy()
        var epoch = 1L
        val instance = Registrant("a", store) { epoch }
        instance.client.isLosingResponses = true
        instance.registration.step()
        store.restore(empty)
        epoch++
        instance.client.isLosingResponses = false
        instance.registration.step()
        instance.registered() shouldBe listOf("a")
    }

    test("`a registered instance makes no further calls`") {
        val store = StoreStandin()
        val instance = Registrant("a", store) { 1 }
        instance.registration.step()
        val calls = instance.calls
        repeat(3) { instance.registration.step() }
        instance.calls shouldBe calls
    }
})
