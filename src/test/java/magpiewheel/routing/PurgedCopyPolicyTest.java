package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiewheel.staleness.DiscoveryContact;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PurgedCopyPolicyTest {
    private static final long NOW = 1_000_000_000;
    private static final long MS = 1_000;
    private static final long COMPLETION_US = 4_000 * MS;
    private static final long DEADLINE_US = 2_000 * MS;
    private static final int GROUP = 5;
    private final PurgeLog log = new PurgeLog();
    private final PurgedCopyPolicy policy = new PurgedCopyPolicy(log, COMPLETION_US, DEADLINE_US);
    private final RoutingRequest request =
            RoutingRequest.builder(1, 0, 77).group(GROUP).build();

    private InFlightRequest inFlight(long freshUs) {
        RequestClass requestClass =
                RequestClass.builder(500_000, 3_000_000).freshUs(freshUs).build();
        return new InFlightRequest(request, requestClass, NOW, NOW + 3_000_000, null);
    }

    @Test
    void theAgeLimitIsTheTimeSinceThePurgeLessAMargin() {
        assertEquals(0, policy.ageLimit(NOW, inFlight(0)), "no limit without a purge");
        log.add(NOW - 200_000, new Purge(0, 77, GROUP));
        assertEquals(199_000, policy.ageLimit(NOW, inFlight(0)));
        assertEquals(100_000, policy.ageLimit(NOW, inFlight(100_000)), "never above the fresh time");
        assertEquals(
                0,
                policy.ageLimit(NOW + COMPLETION_US + DEADLINE_US, inFlight(0)),
                "the purge is complete at every cache");
    }

    @Test
    void theAgeLimitAfterAPurgeIsAtLeastOne() {
        log.add(NOW, new Purge(0, 77, GROUP));
        assertEquals(1, policy.ageLimit(NOW, inFlight(0)));
    }

    @Test
    void aCopyOlderThanAReceivedPurgeMayBePurged() {
        log.add(NOW - 200_000, new Purge(0, 0, GROUP));
        assertTrue(policy.mayBePurged(NOW, request, NOW - 200_001));
        assertFalse(policy.mayBePurged(NOW, request, NOW - 199_999));
    }

    @Test
    void withoutADiscoveryServiceNoPurgeIsMissed() {
        assertFalse(policy.mayBePurged(NOW, request, 0));
    }

    /**
     * A copy that is younger than every purge that counts as announced is safe whatever discovery has not delivered.
     */
    @ParameterizedTest
    @CsvSource({
        // silence ms, delay ms, age of the copy ms, may be purged
        "    0,    0, 60000, false",
        " 6999,    0, 60000, false",
        " 7001,    0, 60000, true",
        " 7001,    0,  6999, false",
        " 7001,    0,  7000, true",
        " 3999, 3000, 60000, false",
        " 4001, 3000, 60000, true",
        "60000,    0,  6999, false",
        "60000,    0, 60000, true",
    })
    void aCopyMayBePurgedOnceDiscoveryHasBeenSilentForLonger(
            long silenceMs, long delayMs, long ageMs, boolean mayBePurged) {
        policy.contact().expectFrom(NOW - 1_000_000 * MS);
        policy.contact().heard(NOW - silenceMs * MS, delayMs * MS);
        assertEquals(mayBePurged, policy.mayBePurged(NOW, request, NOW - ageMs * MS));
    }

    @Test
    void theConfigurationOfTheStartCountsAsHeard() {
        policy.contact().expectFrom(NOW);
        policy.contact().expectFrom(NOW + 5_000 * MS);
        assertFalse(policy.mayBePurged(NOW + DiscoveryContact.DELIVERY_BOUND_US, request, 0));
        assertTrue(policy.mayBePurged(NOW + DiscoveryContact.DELIVERY_BOUND_US + 1, request, 0));
    }

    /** Caches that complete purges later than discovery's bound may hold copies from before a missed one. */
    @ParameterizedTest
    @CsvSource({"7000, 0", "7001, 6999", "60000, 6999"})
    void endpointsGetAnAgeLimitForMissedPurgesThatMayBeIncomplete(long completionMs, long limitMs) {
        PurgedCopyPolicy slow = new PurgedCopyPolicy(log, completionMs * MS, DEADLINE_US);
        slow.contact().expectFrom(NOW - 60_000 * MS);
        assertEquals(limitMs * MS, slow.ageLimit(NOW, inFlight(0)));
        slow.contact().heard(NOW, 0);
        assertEquals(0, slow.ageLimit(NOW, inFlight(0)));
    }
}
