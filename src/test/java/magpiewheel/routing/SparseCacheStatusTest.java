package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests of sites whose responses report only hits, so that a failed fill does not show whether the cache or the source
 * is at fault.
 */
class SparseCacheStatusTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long PARENT = 7;
    private static final int CACHES = 4;
    private static final int REQUESTS = 400;
    private static final int LAST = 100;

    private final RecordingActions actions = new RecordingActions();
    private final RequestRouter router;
    private long now = 100 * SECOND;

    SparseCacheStatusTest() {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        settings = RequestRouterFixture.withFeatures(settings, settings.cachesJoinFills(), false);
        router = new RequestRouter(
                settings, 42, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        router.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
    }

    /**
     * Requests a new object, ends all attempts, and returns how many of them named the failing parent as the fill
     * source.
     */
    private int requestNewObject(long id) {
        router.requestArrived(
                now,
                RoutingRequest.builder(id, 0, id * 31)
                        .group(5)
                        .timeBudgetUs(2 * SECOND)
                        .build());
        int fromParent = 0;
        int attempt = 0;
        boolean served = false;
        while (!served && actions.lastAttempt().request() == id && attempt < attempts(id)) {
            RecordingActions.StartedAttempt last = actions.lastAttempt();
            boolean filledByParent = last.plan().fillSource() == PARENT;
            fromParent += filledByParent ? 1 : 0;
            served = !filledByParent;
            now += 20 * MS;
            AttemptResult result = filledByParent ? AttemptResult.ERROR : AttemptResult.OK;
            CacheStatus status = filledByParent ? CacheStatus.UNKNOWN : CacheStatus.FILLED;
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, attempt, last.node(), result)
                            .durationUs(20 * MS)
                            .requestCompleted(served)
                            .cacheStatus(status)
                            .build());
            attempt++;
        }
        return fromParent;
    }

    private long attempts(long id) {
        return actions.attempts.stream().filter(sent -> sent.request() == id).count();
    }

    /**
     * Failures are counted against all caches alike, but against only one of the parents: that parent is ejected, and
     * no cache is.
     */
    @Test
    void aParentThatFailsItsFillsIsEjected() {
        int fromParent = 0;
        for (long id = 1; id <= REQUESTS; id++) {
            int parentAttempts = requestNewObject(id);
            fromParent += id > REQUESTS - LAST ? parentAttempts : 0;
        }
        assertTrue(
                fromParent < LAST / 10,
                "of the last " + LAST + " requests, attempts with the failing parent as source: " + fromParent);
        long usedCaches = actions.attempts.stream()
                .skip(actions.attempts.size() - LAST)
                .mapToLong(RecordingActions.StartedAttempt::node)
                .filter(node -> node <= CACHES)
                .distinct()
                .count();
        assertEquals(CACHES, usedCaches, "no cache is ejected");
    }
}
