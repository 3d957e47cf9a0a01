package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import magpiewheel.routing.WarmingFleet.Scenario;
import org.junit.jupiter.api.Test;

/** The load that all routers together send to an endpoint after its start stays within the slow-start settings. */
class WarmingFleetTest {
    private static final int[] ROUTER_COUNTS = {1, 20, 30, 100};
    private static final int SEEDS = 3;
    /** Fleets of this size and above run with one seed: most of their run time goes into peer messages. */
    private static final int SINGLE_SEED_ROUTERS = 30;

    private static final long END_US = 8 * WarmingFleet.SECOND;
    /** Request rate of the whole fleet: far more than a warming endpoint can take. */
    private static final int FLEET_REQUESTS_PER_SECOND = 300;

    private static void assertWithinBudget(long warmingEndpoint, UnaryOperator<Scenario> scenarioChange) {
        for (int routers : ROUTER_COUNTS) {
            for (int seed = 1; seed <= (routers < SINGLE_SEED_ROUTERS ? SEEDS : 1); seed++) {
                Scenario scenario = scenarioChange.apply(Scenario.of(seed, routers, warmingEndpoint));
                double excess = new WarmingFleet(scenario)
                        .run(END_US, Math.max(2, FLEET_REQUESTS_PER_SECOND / routers))
                        .worstExcessRequests();
                assertTrue(excess <= 0, excess + " requests over the slow-start budget in " + scenario);
            }
        }
    }

    @Test
    void warmingCacheStaysWithinItsBudget() {
        assertWithinBudget(WarmingFleet.CACHE, plans -> plans);
    }

    @Test
    void warmingCacheReceivesRequestsFromAHundredRouters() {
        Scenario scenario = Scenario.of(1, 100, WarmingFleet.CACHE);
        int arrivals = new WarmingFleet(scenario)
                .run(END_US, FLEET_REQUESTS_PER_SECOND / 100)
                .arrivals
                .size();
        assertTrue(arrivals > 0, "requests that reached the warming cache: " + arrivals);
    }

    @Test
    void warmingParentStaysWithinItsBudget() {
        assertWithinBudget(WarmingFleet.PARENT, plans -> plans);
    }

    @Test
    void budgetHoldsWithUnknownSizes() {
        assertWithinBudget(WarmingFleet.CACHE, Scenario::withUnknownSizes);
    }

    @Test
    void retriesDoNotOverloadTheWarmingCache() {
        assertWithinBudget(WarmingFleet.CACHE, Scenario::withOtherCachesFailing);
    }

    @Test
    void restartedRoutersGetNoNewBudget() {
        assertWithinBudget(
                WarmingFleet.CACHE, plans -> plans.withOtherCachesFailing().withRouterRestarts());
    }

    @Test
    void restartedRoutersGetNoNewBudgetAtAWarmingParent() {
        assertWithinBudget(WarmingFleet.PARENT, Scenario::withRouterRestarts);
    }

    @Test
    void relistedEndpointGetsNoNewBudget() {
        assertWithinBudget(
                WarmingFleet.CACHE, plans -> plans.withOtherCachesFailing().withFlappingEndpointList());
    }

    @Test
    void budgetFollowsTheEndpointWeight() {
        assertWithinBudget(
                WarmingFleet.CACHE, plans -> plans.withOtherCachesFailing().withEndpointWeight(1));
    }

    /**
     * The routers of the cache's own zone divide its slow-start budget among them. A router of another zone that named
     * the cache to its clients would use a share that is not assigned to it.
     */
    @Test
    void selectCacheSkipsWarmingCachesOfAnotherZone() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        RequestRouter router = new RequestRouter(
                settings,
                42,
                new RecordingActions(),
                settings.topology().membershipConfig(0, 400_000, 1, false),
                null,
                false);
        long now = 100 * WarmingFleet.SECOND;
        long remoteCache = 11;
        router.endpointsChanged(
                now,
                EndpointListMode.CACHED,
                List.of(RequestRouterFixture.endpoint(remoteCache, 0, 1, now, EndpointState.READY)));
        assertEquals(RoutingPolicy.NO_CACHE, router.selectCache(now, 1, 77));
        assertEquals(remoteCache, router.selectCache(now + 60 * WarmingFleet.SECOND, 1, 77));
    }

    /**
     * The process that ran before a restarted router may have used its share already, so the router starts with a
     * smaller one. This holds for the fleet's quota and for the zone's, whether or not silent routers are probed.
     */
    @Test
    void startedRouterBeginsWithAReducedQuota() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        long now = 100 * WarmingFleet.SECOND;
        RequestRouter router = new RequestRouter(
                settings,
                42,
                new RecordingActions(),
                settings.topology().membershipConfig(0, 400_000, now / WarmingFleet.MS, false),
                null,
                false);
        assertEquals(8, router.membership().quotaDivisor(now));
        assertEquals(8, router.membership().quotaDivisorIn(now, 0));
        assertEquals(2, router.membership().quotaDivisor(now + 6 * WarmingFleet.SECOND));
    }

    /**
     * The transfers that end first are the short ones: a limit computed from their mean would be exceeded many times.
     */
    @Test
    void conservativeTransferTimeIgnoresTheFirstFewTransfers() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        TransferTimes transfers = new TransferTimes(settings.requestClasses(), 10_000);
        assertEquals(500_000, transfers.conservativeUs(0));
        for (int i = 0; i < 3; i++) {
            transfers.add(0, 5_000, true);
        }
        assertEquals(5_000, transfers.meanUs(0));
        assertTrue(
                transfers.conservativeUs(0) > 300_000,
                "conservative transfer time in us: " + transfers.conservativeUs(0));
        for (int i = 0; i < 100; i++) {
            transfers.add(0, 5_000, true);
        }
        assertEquals(5_000, transfers.conservativeUs(0), 100);
    }
}
