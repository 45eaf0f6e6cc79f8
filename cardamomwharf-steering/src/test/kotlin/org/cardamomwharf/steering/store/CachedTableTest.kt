/*
 * What a process believes of a table, whatever order update come in.
 */
package org.cardamomwharf.steering.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

class CachedTableTest : FunSpec({
    fun createTable() = CachedTable<String>(restoreGraceMs = 2_000)
    fun update(key: String, version: Long, value: String?) =
        TableUpdate(listOf(TableEntry(key, version, value)), version, isWhole = false)

    test("`an older entry never replaces a newer one`") {
        val table = createTable()
        table.apply(update("a", 5, "new"), 0)
        table.apply(update("a", 4, "old"), 0).shouldBeEmpty()
        table.find("a") shouldBe "new"
    }

    test("`a removed entry doesn't come back with older update`") {
        val table = createTable()
        table.apply(update("a", 5, "x"), 0)
        table.apply(update("a", 7, null), 0).shouldHaveSize(1)
        table.apply(update("a", 6, "x"), 0).shouldBeEmpty()
        table.find("a") shouldBe null
    }

    test("`a whole reading removes what is absent, and an older whole reading changes nothing`") {
        val table = createTable()
        table.apply(TableUpdate(listOf(TableEntry("a", 1, "x"), TableEntry("b", 2, "y")), 2, isWhole = true), 0)
        table.apply(TableUpdate(listOf(TableEntry("b", 2, "y")), 9, isWhole = true), 0).shouldHaveSize(1)
        table.apply(TableUpdate(listOf(TableEntry("a", 1, "x")), 3, isWhole = true), 0).shouldBeEmpty()
        table.updateSince(0).entries.map { it.key to it.value } shouldBe listOf("b" to "y")
    }

    test("`an entry that lapsed during an outage stays for the grace period and goes when it isn't back`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.gracePeriod.start(10_000)
        table.apply(update("a", 5, null), 10_100).shouldBeEmpty()
        table.find("a") shouldBe "x"
        table.expire(11_900).shouldBeEmpty()
        table.expire(12_000).shouldHaveSize(1)
        table.find("a") shouldBe null
    }

    test("`an entry that lapsed during an outage and is back in time is never removed`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.gracePeriod.start(10_000)
        table.apply(update("a", 5, null), 10_100)
        table.apply(update("a", 6, "x"), 11_000)
        table.expire(20_000).shouldBeEmpty()
        table.find("a") shouldBe "x"
    }

    test("`an entry that is removed without an outage is gone at once`") {
        val table = createTable()
        table.apply(update("a", 1, "x"), 0)
        table.apply(update("a", 2, null), 100).shouldHaveSize(1)
    }
})
