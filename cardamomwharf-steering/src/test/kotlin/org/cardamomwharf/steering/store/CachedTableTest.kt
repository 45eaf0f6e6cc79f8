/*
 * What a process believes of a table, whatever order news come in.
 */
package org.cardamomwharf.steering.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

class CachedTableTest : FunSpec({
    fun belief() = CachedTable<String>(restoreGraceMs = 2_000)
    fun news(key: String, version: Long, value: String?) =
        TableUpdate(listOf(TableEntry(key, version, value)), version, isWhole = false)

    test("`an older entry never replaces a newer one`") {
        val belief = belief()
        belief.apply(news("a", 5, "new"), 0)
        belief.apply(news("a", 4, "old"), 0).shouldBeEmpty()
        belief.find("a") shouldBe "new"
    }

    test("`a removed entry doesn't come back with older news`") {
        val belief = belief()
        belief.apply(news("a", 5, "x"), 0)
        belief.apply(news("a", 7, null), 0).shouldHaveSize(1)
        belief.apply(news("a", 6, "x"), 0).shouldBeEmpty()
        belief.find("a") shouldBe null
    }

    test("`a whole reading removes what is absent, and an older whole reading changes nothing`") {
        val belief = belief()
        belief.apply(TableUpdate(listOf(TableEntry("a", 1, "x"), TableEntry("b", 2, "y")), 2, isWhole = true), 0)
        belief.apply(TableUpdate(listOf(TableEntry("b", 2, "y")), 9, isWhole = true), 0).shouldHaveSize(1)
        belief.apply(TableUpdate(listOf(TableEntry("a", 1, "x")), 3, isWhole = true), 0).shouldBeEmpty()
        belief.updateSince(0).entries.map { it.key to it.value } shouldBe listOf("b" to "y")
    }

    test("`an entry that lapsed during an outage stays for the grace period and goes when it isn't back`") {
        val belief = belief()
        belief.apply(news("a", 1, "x"), 0)
        belief.gracePeriod.start(10_000)
        belief.apply(news("a", 5, null), 10_100).shouldBeEmpty()
        belief.find("a") shouldBe "x"
        belief.expire(11_900).shouldBeEmpty()
        belief.expire(12_000).shouldHaveSize(1)
        belief.find("a") shouldBe null
    }

    test("`an entry that lapsed during an outage and is back in time is never removed`") {
        val belief = belief()
        belief.apply(news("a", 1, "x"), 0)
        belief.gracePeriod.start(10_000)
        belief.apply(news("a", 5, null), 10_100)
        belief.apply(news("a", 6, "x"), 11_000)
        belief.expire(20_000).shouldBeEmpty()
        belief.find("a") shouldBe "x"
    }

    test("`an entry that is removed without an outage is gone at once`") {
        val belief = belief()
        belief.apply(news("a", 1, "x"), 0)
        belief.apply(news("a", 2, null), 100).shouldHaveSize(1)
    }
})
