/*
 * Tests that a cached table is correct for updates in any order.
 */
package org.cardamomwharf.steering.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

class CachedTableTest : FunSpec({
    fun createTable() = CachedTable<String>(RestorePolicy(2_000, 2_000, 6_000) { _, next -> next })
    fun update(key: String, version: Long, value: String?) =
        TableUpdate(listOf(TableEntry(key, version, value)), version, isWhole = false)

    test("`an older entry never replaces a newer one`") {
        val table = createTable()
        table.apply(update("a", 5, "new"), 0)
        table.apply(update("a", 4, "old"), 0).shouldBeEmpty()
        table.find("a") shouldBe "new"
    }

    test("`a removed entry doesn't return with an older update`") {
        val table = createTable()
        table.apply(update("a", 5, "x"), 0)
        table.apply(update("a", 7, null), 0).shouldHaveSize(1)
        table.apply(update("a", 6, "x"), 0).shouldBeEmpty()
        table.find("a") shouldBe null
    }

    test("`a whole update removes missing entries, and an older whole update changes nothing`") {
        val table = createTable()
        table.apply(TableUpdate(listOf(TableEntry("a", 1, "x"), TableEntry("b", 2, "y")), 2, isWhole = true), 0)
        table.apply(TableUpdate(listOf(TableEntry("b", 2, "y")), 9, isWhole = true), 0).shouldHaveSize(1)
        table.apply(TableUpdate(listOf(TableEntry("a", 1, "x")), 3, isWhole = true), 0).shouldBeEmpty()
        table.updateSince(StoreVersion.NONE).entries.map { it.key to it.value } shouldBe listOf("b" to "y")
    }

    test("`an entry that expired during an outage is kept for the grace period and removed if not renewed`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.gracePeriod.start(10_000)
        table.apply(update("a", 5, null), 10_100).shouldBeEmpty()
        table.find("a") shouldBe "x"
        table.expire(11_900).shouldBeEmpty()
        table.expire(12_000).shouldHaveSize(1)
        table.find("a") shouldBe null
    }

    test("`an entry that expired during an outage and is renewed in time is never removed`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.gracePeriod.start(10_000)
        table.apply(update("a", 5, null), 10_100)
        table.apply(update("a", 6, "x"), 11_000)
        table.expire(20_000).shouldBeEmpty()
        table.find("a") shouldBe "x"
    }

    test("`an entry removed without an outage disappears immediately`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.apply(update("a", 2, null), 100).shouldHaveSize(1)
    }
})
