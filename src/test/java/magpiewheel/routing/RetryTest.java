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
        submit(1, UNSAFE_WRITE, 77);
        endAttempt(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(1, attemptCount(1));
        assertEquals(List.of(1L), actions.failed);
    }

    @Test
    void aNonIdempotentRequestThatDidNotRunIsRetried() {
        submit(1, UNSAFE_WRITE, 77);
        endAttempt(1, 0, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsWindow() {
        submit(1, KEYED_WRITE, 77);
        now += SECOND;
        endAttempt(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        now += SECOND;
        endAttempt(1, 1, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertEquals(List.of(1L), actions.rejected);
    }

    /** Its connection may come up late: the plan ends with the window, which counts from what may have run. */
    @Test
    void aRetryOfAKeyedRequestMayStartOnlyWithinItsWindow() {
        long sentAt = now;
        submit(1, KEYED_WRITE, 77);
        now += 1_850_000;
        endAttempt(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertEquals(sentAt + 2 * SECOND, actions.lastAttempt().plan().startByUs());
    }

    /** A first attempt that never ran began no window. */
    @Test
    void aRejectedKeyedRequestHasNoWindow() {
        submit(1, KEYED_WRITE, 77);
        now += 1_850_000;
        endAttempt(1, 0, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertTrue(actions.lastAttempt().plan().startByUs() > now + 150_000, "as any other plan");
    }

    @Test
    void nothingIsRetriedAfterTheClientsDeadline() {
        submit(1, READ, 77);
        now += SECOND;
        endAttempt(1, 0, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN);
        assertEquals(1, attemptCount(1));
        assertEquals(List.of(1L), actions.rejected);
    }

    /** A spoilt answer is asked for again where it is held, and a parent may be tried again: not once they drain. */
    @Test
    void aRetryAvoidsEndpointsThatBeganToDrain() {
        RecordingActions.StartedAttempt first = submit(1, READ, 77);
        router.endpointsChanged(
                now,
                EndpointListMode.DELTA,
                List.of(
                        endpoint(first.node(), 0, 0, 0, EndpointState.DRAINING),
                        endpoint(first.plan().fillSource(), 1, 1, 0, EndpointState.DRAINING)));
        endAttempt(1, 0, AttemptResult.CORRUPT, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertNotEquals(first.node(), actions.lastAttempt().node());
        assertNotEquals(first.plan().fillSource(), actions.lastAttempt().plan().fillSource());
    }

    /**
     * zone+brink 288554559052: connections came up 1.5 s late, and what had waited for them was written all the same,
     * long after a drain (500 ms here) or a purge (300 ms) told meanwhile had forbidden it.
     */
    @Test
    void aPlanExpiresBeforeADrainOrAPurgeForbidsIt() {
        long beginBy = submit(1, READ, 77).plan().startByUs();
        assertTrue(beginBy > now && beginBy < now + 300_000, "to begin within " + (beginBy - now));
    }

    /** Spoilt answers come from all nodes alike: the holder is asked again once, and nobody is ejected. */
    @Test
    void aCorruptResponseIsRetriedAtTheHolder() {
        for (long id = 1; id <= 20; id++) {
            long holder = submit(id, READ, 77).node();
            endAttempt(id, 0, AttemptResult.CORRUPT, CacheStatus.UNKNOWN);
            assertEquals(holder, actions.lastAttempt().node());
            endAttempt(id, 1, AttemptResult.OK, CacheStatus.HIT);
            now += 100_000;
        }
    }
}
