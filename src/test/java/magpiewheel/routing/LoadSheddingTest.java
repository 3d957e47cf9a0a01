package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which requests get no fill under load. */
class LoadSheddingTest extends RequestRouterFixture {
    private boolean getsFill(long id, double sizeKb) {
        router.requestArrived(
                now,
                RoutingRequest.builder(id, READ, 1_000 + id)
                        .group(5)
                        .sizeKb(sizeKb)
                        .timeBudgetUs(2 * SECOND)
                        .build());
        return actions.lastAttempt().request() == id
                && actions.lastAttempt().plan().fillSource()
                        != actions.lastAttempt().node();
    }

    /**
     * Under load, large requests are shed before small ones. A request of known size is judged by its size, not by the
     * mean of its class.
     */
    @Test
    void underLoadASmallRequestGetsAFillBeforeALargeOne() {
        boolean onlySmallFilled = false;
        for (int i = 0; i < 100 && !onlySmallFilled; i++) {
            boolean largeFills = getsFill(2 * i + 1, 10_000);
            boolean smallFills = getsFill(2 * i + 2, 100);
            assertTrue(smallFills || !largeFills, "the small request gets a fill if the large one does, at " + i);
            onlySmallFilled = smallFills && !largeFills;
        }
        assertTrue(onlySmallFilled, "small and large requests were never treated differently");
    }

    @Test
    void beyondTheFillLimitARequestIsServedFromACacheOrRejectedAtOnce() {
        for (long id = 1; id <= 60; id++) {
            router.requestArrived(now, request(id, READ, id));
        }
        List<RecordingActions.StartedAttempt> cachedOnlyAttempts = actions.attempts.stream()
                .filter(s -> s.plan().fillSource() == s.node())
                .toList();
        // The link carries 10 transfers at a client's rate. The initial limit of 20 fills is 50 attempts of probability
        // 0.4.
        assertTrue(
                cachedOnlyAttempts.size() >= 5 && cachedOnlyAttempts.get(0).request() >= 50,
                "attempts without a fill: " + cachedOnlyAttempts);
        actions.rejected.clear();
        endAttempt(cachedOnlyAttempts.get(0).request(), 0, AttemptResult.MISS, CacheStatus.SOURCE_MISS);
        assertEquals(List.of(cachedOnlyAttempts.get(0).request()), actions.rejected);
        endAttempt(cachedOnlyAttempts.get(1).request(), 0, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(1, actions.rejected.size());
    }
}
