package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests get no fill under load. */
class LoadSheddingTest extends RequestRouterFixture {
    private boolean fills(long id, double kbytes) {
        router.requestArrived(
                now,
                RoutingRequest.builder(id, READ, 1_000 + id)
                        .group(5)
                        .sizeKb(kbytes)
                        .timeBudgetUs(2 * SECOND)
                        .build());
        return actions.lastAttempt().request() == id
                && actions.lastAttempt().plan().fillSource()
                        != actions.lastAttempt().node();
    }

    /** Of what crowds the link the large go first: a class's mean says nothing of a request whose size is told. */
    @Test
    void underLoadASmallRequestGetsAFillBeforeALargeOne() {
        boolean apart = false;
        for (int i = 0; i < 100 && !apart; i++) {
            boolean largeFills = fills(2 * i + 1, 10_000);
            boolean smallFills = fills(2 * i + 2, 100);
            assertTrue(smallFills || !largeFills, "the small one goes first at " + i);
            apart = smallFills && !largeFills;
        }
        assertTrue(apart, "sizes never made a difference");
    }

    @Test
    void beyondTheFillLimitARequestIsServedFromACacheOrRejectedAtOnce() {
        for (long id = 1; id <= 60; id++) {
            router.requestArrived(now, request(id, READ, id));
        }
        List<RecordingActions.StartedAttempt> looks = actions.attempts.stream()
                .filter(s -> s.plan().fillSource() == s.node())
                .toList();
        // The link carries 10 transfers at a client's pace; 20 fills at first, of 0.4 an attempt, are 50.
        assertTrue(looks.size() >= 5 && looks.get(0).request() >= 50, "without a fill " + looks);
        actions.rejected.clear();
        endAttempt(looks.get(0).request(), 0, AttemptResult.MISS, CacheStatus.SOURCE_MISS);
        assertEquals(List.of(looks.get(0).request()), actions.rejected);
        endAttempt(looks.get(1).request(), 0, AttemptResult.OK, CacheStatus.HIT);
        assertEquals(1, actions.rejected.size());
    }
}
