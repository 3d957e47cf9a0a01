package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which attempts may follow one that failed. */
class RetryTest extends RequestRouterFixture {
    @Test
    void aNonIdempotentRequestThatMayHaveRunFailsAtOnce() {
        ask(1, UNSAFE, 77);
        answer(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(1, attempts(1));
        assertEquals(List.of(1L), router.failed);
    }

    @Test
    void aNonIdempotentRequestThatDidNotRunIsRetried() {
        ask(1, UNSAFE, 77);
        answer(1, 0, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsWindow() {
        ask(1, KEYED, 77);
        now += SECOND;
        answer(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
        now += SECOND;
        answer(1, 1, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
        assertEquals(List.of(1L), router.refused);
    }

    /** Its connection may come up late: the plan ends with the window, which counts from what may have run. */
    @Test
    void aRetryOfAKeyedRequestMayStartOnlyWithinItsWindow() {
        long sentAt = now;
        ask(1, KEYED, 77);
        now += 1_850_000;
        answer(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
        assertEquals(sentAt + 2 * SECOND, router.last().plan().startByUs());
    }

    /** A first attempt that never ran began no window. */
    @Test
    void aRejectedKeyedRequestHasNoWindow() {
        ask(1, KEYED, 77);
        now += 1_850_000;
        answer(1, 0, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
        assertTrue(router.last().plan().startByUs() > now + 150_000, "as any other plan");
    }

    @Test
    void nothingIsRetriedAfterTheClientsDeadline() {
        ask(1, PURE, 77);
        now += SECOND;
        answer(1, 0, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN);
        assertEquals(1, attempts(1));
        assertEquals(List.of(1L), router.refused);
    }

    /** A spoilt answer is asked for again where it is held, and a parent may be tried again: not once they drain. */
    @Test
    void aRetryAvoidsEndpointsThatBeganToDrain() {
        RecordingActions.Sent first = ask(1, PURE, 77);
        rules.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(
                        member(first.node(), 0, 0, 0, EndpointState.DRAINING),
                        member(first.plan().fillSource(), 1, 1, 0, EndpointState.DRAINING)));
        answer(1, 0, AttemptResult.CORRUPT, CacheStatus.UNKNOWN);
        assertEquals(2, attempts(1));
        assertNotEquals(first.node(), router.last().node());
        assertNotEquals(first.plan().fillSource(), router.last().plan().fillSource());
    }

    /**
     * zone+brink 288554559052: connections came up 1.5 s late, and what had waited for them was written all the same,
     * long after a drain (500 ms here) or a purge (300 ms) told meanwhile had forbidden it.
     */
    @Test
    void aPlanExpiresBeforeADrainOrAPurgeForbidsIt() {
        long beginBy = ask(1, PURE, 77).plan().startByUs();
        assertTrue(beginBy > now && beginBy < now + 300_000, "to begin within " + (beginBy - now));
    }

    /** Spoilt answers come from all nodes alike: the holder is asked again once, and nobody is ejected. */
    @Test
    void aCorruptResponseIsRetriedAtTheHolder() {
        for (long id = 1; id <= 20; id++) {
            long holder = ask(id, PURE, 77).node();
            answer(id, 0, AttemptResult.CORRUPT, CacheStatus.UNKNOWN);
            assertEquals(holder, router.last().node());
            answer(id, 1, AttemptResult.OK, CacheStatus.HIT);
            now += 100_000;
        }
    }
}
