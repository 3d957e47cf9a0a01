package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PurgeLogTest {
    private static final long NOW = 1_000_000_000;
    private static final long RELEVANT_US = 6_000_000;
    private static final int GROUP = 5;
    private final PurgeLog log = new PurgeLog();

    private static InFlightRequest request(long objectId, long freshUs) {
        RequestClass requestClass =
                RequestClass.builder(500_000, 3_000_000).freshUs(freshUs).build();
        RoutingRequest request =
                RoutingRequest.builder(1, 0, objectId).group(GROUP).build();
        return new InFlightRequest(request, requestClass, NOW, NOW + 3_000_000, null);
    }

    @Test
    void theNewestPurgeOfAnObjectOrItsGroupCounts() {
        assertEquals(Long.MIN_VALUE, log.lastPurge(77, GROUP));
        log.add(NOW - 300, new Purge(0, 0, GROUP));
        log.add(NOW - 200, new Purge(0, 77, GROUP));
        log.add(NOW - 400, new Purge(0, 77, GROUP));
        assertEquals(NOW - 200, log.lastPurge(77, GROUP));
        assertEquals(NOW - 300, log.lastPurge(78, GROUP));
        assertEquals(NOW - 300, log.lastGroupPurge(GROUP));
        assertEquals(Long.MIN_VALUE, log.lastPurge(78, GROUP + 1));
    }

    @Test
    void theAgeLimitIsTheTimeSinceThePurgeLessAMargin() {
        assertEquals(0, log.ageLimit(NOW, request(77, 0), RELEVANT_US), "no limit without a purge");
        log.add(NOW - 200_000, new Purge(0, 77, GROUP));
        assertEquals(199_000, log.ageLimit(NOW, request(77, 0), RELEVANT_US));
        assertEquals(100_000, log.ageLimit(NOW, request(77, 100_000), RELEVANT_US), "never above the fresh time");
        assertEquals(
                0,
                log.ageLimit(NOW + RELEVANT_US, request(77, 0), RELEVANT_US),
                "the purge is complete at every cache");
    }

    @Test
    void theAgeLimitAfterAPurgeIsAtLeastOne() {
        log.add(NOW, new Purge(0, 77, GROUP));
        assertEquals(1, log.ageLimit(NOW, request(77, 0), RELEVANT_US));
    }
}
