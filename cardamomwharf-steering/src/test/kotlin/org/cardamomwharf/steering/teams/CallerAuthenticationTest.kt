/*
 * Tests which team a caller belongs to as the configuration changes.
 */
package org.cardamomwharf.steering.teams

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.requests.RequestSpec

private val service = ServiceName("reads")
private val route =
    Route("r", "h", "/r/", true, listOf(WeightedService(service, 1.0)), 1_000, 500, 1, 2, true, emptySet())
private val weavers = Team(TeamName("weavers"), setOf(TeamKey("w1"), TeamKey("w2")), rank = 0)
private val dyers = Team(TeamName("dyers"), setOf(TeamKey("d1")))

private fun createDesired(version: Long, vararg teams: Team) = DesiredState(
    DocumentVersion(version),
    listOf(route),
    emptyMap(),
    CallerLimits(16_384, 65_536, 3_000, 15_000),
    teams.toList(),
)

class CallerAuthenticationTest : FunSpec({
    val routes = ActiveRoutes()
    val callers = CallerAuthentication(routes, TeamParameters())

    fun identify(key: String?, of: Route = route) = callers.identify(of, key?.let { TeamKey(it) }, nowMs = 0)

    test("`a configuration without teams requires no key`") {
        routes.adopt(createDesired(1))
        identify(null) shouldBe Caller.Anonymous
        identify("w1") shouldBe Caller.Anonymous
    }

    test("`a key belongs to the team that holds it`") {
        routes.adopt(createDesired(2, weavers, dyers))
        identify("w2") shouldBe Caller.Member(weavers)
        identify("d1") shouldBe Caller.Member(dyers)
        identify("x") shouldBe Caller.Unknown
        identify(null) shouldBe Caller.Unknown
        identify("w1", route.copy(isPublic = true)) shouldBe Caller.Anonymous
    }

    test("`a key that moves to another team takes the name of that team`") {
        val others = dyers.copy(keys = dyers.keys + TeamKey("w2"))
        routes.adopt(createDesired(3, weavers.copy(keys = setOf(TeamKey("w1"))), others))
        identify("w2") shouldBe Caller.Member(others)
        identify("w1") shouldBe Caller.Member(weavers.copy(keys = setOf(TeamKey("w1"))))
    }

    test("`a team that loses its keys still makes keys necessary`") {
        routes.adopt(createDesired(4, weavers.copy(keys = emptySet())))
        identify("w1") shouldBe Caller.Unknown
        identify(null) shouldBe Caller.Unknown
    }

    test("`an older configuration brings no key back`") {
        routes.adopt(createDesired(3, weavers, dyers)) shouldBe false
        identify("w1") shouldBe Caller.Unknown
    }

    test("`the rank and the regions of the team bind its requests`") {
        val team = weavers.copy(allowedRegions = setOf(RegionName("a"), RegionName("b")))
        val narrow = route.copy(allowedRegions = setOf(RegionName("b"), RegionName("c")))
        val spec = RequestSpec("1", narrow, service, null, 0, 1_000, team = team)
        spec.rank shouldBe 0
        listOf("a", "b", "c").filter { spec.isAllowedIn(RegionName(it)) } shouldBe listOf("b")
        spec.copy(team = dyers).rank shouldBe 1
    }

    test("`the text of a configuration doesn't contain its keys`") {
        createDesired(5, weavers, dyers).toString() shouldNotContain "w1"
    }
})
