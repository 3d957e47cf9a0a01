package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import magpiewheel.routing.WarmingFleet.Plans;
import org.junit.jupiter.api.Test;

/** What all fronts together send to a node that started lately stays under what the settings let it bear. */
class WarmingFleetTest {
    private static final int[] FRONTS = {1, 20, 30, 100};
    private static final int SEEDS = 3;
    /** Fleets from this size on are tried with one seed: their messages take longer than what is looked at. */
    private static final int LARGE = 30;

    private static final long END = 8 * WarmingFleet.SECOND;
    /** Requests a second that the whole fleet is asked for: far more than a cold node bears. */
    private static final int PER_SECOND = 300;

    private static void holds(long cold, UnaryOperator<Plans> how) {
        for (int fronts : FRONTS) {
            for (int seed = 1; seed <= (fronts < LARGE ? SEEDS : 1); seed++) {
                Plans plans = how.apply(Plans.of(seed, fronts, cold));
                double worst = new WarmingFleet(plans)
                        .run(END, Math.max(2, PER_SECOND / fronts))
                        .worst();
                assertTrue(worst <= 0, worst + " requests too many, " + plans);
            }
        }
    }

    @Test
    void aColdCacheKeepsItsBudget() {
        holds(WarmingFleet.CACHE, plans -> plans);
    }

    @Test
    void aColdCacheIsOfUseToAHundredFrontsWhileItWarms() {
        Plans plans = Plans.of(1, 100, WarmingFleet.CACHE);
        int used = new WarmingFleet(plans).run(END, PER_SECOND / 100).arrivals.size();
        assertTrue(used > 0, "requests that reached it: " + used);
    }

    @Test
    void aColdParentKeepsItsBudget() {
        holds(WarmingFleet.PARENT, plans -> plans);
    }

    @Test
    void sizesNeedNotBeTold() {
        holds(WarmingFleet.CACHE, Plans::withoutSizes);
    }

    @Test
    void firstAttemptsThatFailDoNotAllTurnToTheColdCache() {
        holds(WarmingFleet.CACHE, Plans::whereOthersFail);
    }

    @Test
    void frontsThatRestartHaveNoNewBudget() {
        holds(WarmingFleet.CACHE, plans -> plans.whereOthersFail().whereFrontsRestart());
    }

    @Test
    void frontsThatRestartHaveNoNewBudgetAtAColdParent() {
        holds(WarmingFleet.PARENT, Plans::whereFrontsRestart);
    }

    @Test
    void aNodeThatIsMissingFromAListForAMomentHasNoNewBudget() {
        holds(WarmingFleet.CACHE, plans -> plans.whereOthersFail().whereTheListFlaps());
    }

    @Test
    void aSmallNodeBearsNoMoreThanItsSize() {
        holds(WarmingFleet.CACHE, plans -> plans.whereOthersFail().weighing(1));
    }

    /** Its own fronts divide its budget: one that clients of another location ask would use a part that nobody has. */
    @Test
    void noLookupNamesAColdCacheOfAnotherLocation() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        RequestRouter rules = new RequestRouter(
                settings,
                42,
                new RecordingActions(),
                settings.topology().membershipConfig(0, 400_000, 1, false),
                null,
                false);
        long now = 100 * WarmingFleet.SECOND;
        long there = 11;
        rules.endpointsChanged(
                now,
                EndpointListMode.CACHED,
                List.of(RequestRouterFixture.endpoint(there, 0, 1, now, EndpointState.READY)));
        assertEquals(RoutingPolicy.NO_CACHE, rules.selectCache(now, 1, 77));
        assertEquals(there, rules.selectCache(now + 60 * WarmingFleet.SECOND, 1, 77));
    }

    /** Of a front that just started the one before may have used its part already, whether refusals are told or not. */
    @Test
    void aFrontThatStartsHasTheFirstPartOfItsShare() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        long now = 100 * WarmingFleet.SECOND;
        RequestRouter rules = new RequestRouter(
                settings,
                42,
                new RecordingActions(),
                settings.topology().membershipConfig(0, 400_000, now / WarmingFleet.MS, false),
                null,
                false);
        assertEquals(8, rules.membership().quotaDivisor(now));
        assertEquals(8, rules.membership().quotaDivisorIn(now, 0));
        assertEquals(2, rules.membership().quotaDivisor(now + 6 * WarmingFleet.SECOND));
    }

    /** Those that end first are the short ones: a limit kept with their mean would be passed many times over. */
    @Test
    void theFirstFewTransfersDoNotTellHowLongTheyTake() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        TransferTimes transfers = new TransferTimes(settings.requestClasses(), 10_000);
        assertEquals(500_000, transfers.conservativeUs(0));
        for (int i = 0; i < 3; i++) {
            transfers.add(0, 5_000, true);
        }
        assertEquals(5_000, transfers.meanUs(0));
        assertTrue(transfers.conservativeUs(0) > 300_000, "careful: " + transfers.conservativeUs(0));
        for (int i = 0; i < 100; i++) {
            transfers.add(0, 5_000, true);
        }
        assertEquals(5_000, transfers.conservativeUs(0), 100);
    }
}
