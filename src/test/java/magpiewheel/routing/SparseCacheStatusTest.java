package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Sites whose answers tell only whether it was a hit: a failed fill does not say whose fault it was. */
class SparseCacheStatusTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long PARENT = 7;
    private static final int CACHES = 4;
    private static final int REQUESTS = 400;
    private static final int LAST = 100;

    private final RecordingActions router = new RecordingActions();
    private final RequestRouter rules;
    private long now = 100 * SECOND;

    SparseCacheStatusTest() {
        RoutingSettings set = RequestRouterFixture.settings(false, SiblingFills.OFF);
        set = RequestRouterFixture.withFeatures(set, set.cachesJoinFills(), false);
        rules = new RequestRouter(set, 42, router, set.topology().membershipConfig(0, 400_000, 1, false), null, false);
        rules.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
    }

    /** Asks for something new, answers all attempts, and returns how many of them were to be filled at the parent. */
    private int tryParent(long id) {
        rules.requestArrived(
                now,
                RoutingRequest.builder(id, 0, id * 31)
                        .group(5)
                        .timeBudgetUs(2 * SECOND)
                        .build());
        int named = 0;
        int attempt = 0;
        boolean served = false;
        while (!served && router.lastAttempt().request() == id && attempt < sent(id)) {
            RecordingActions.StartedAttempt last = router.lastAttempt();
            boolean fails = last.plan().fillSource() == PARENT;
            named += fails ? 1 : 0;
            served = !fails;
            now += 20 * MS;
            AttemptResult result = fails ? AttemptResult.ERROR : AttemptResult.OK;
            CacheStatus note = fails ? CacheStatus.UNKNOWN : CacheStatus.FILLED;
            rules.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, attempt, last.node(), result)
                            .durationUs(20 * MS)
                            .requestCompleted(served)
                            .cacheStatus(note)
                            .build());
            attempt++;
        }
        return named;
    }

    private long sent(long id) {
        return router.attempts.stream().filter(sent -> sent.request() == id).count();
    }

    /** All caches come by the blame alike, the parent alone of the parents: it is left out, and they are not. */
    @Test
    void aParentThatFailsItsFillsIsFoundOut() {
        int named = 0;
        for (long id = 1; id <= REQUESTS; id++) {
            int tries = tryParent(id);
            named += id > REQUESTS - LAST ? tries : 0;
        }
        assertTrue(named < LAST / 10, "of the last " + LAST + " requests so many tried the failing parent: " + named);
        long used = router.attempts.stream()
                .skip(router.attempts.size() - LAST)
                .mapToLong(RecordingActions.StartedAttempt::node)
                .filter(node -> node <= CACHES)
                .distinct()
                .count();
        assertEquals(CACHES, used, "no cache is left out");
    }
}
