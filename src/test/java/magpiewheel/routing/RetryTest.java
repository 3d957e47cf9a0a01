package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which attempts may follow a failed one. */
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

    /**
     * The connection of a retry may be established late, so its plan expires with the idempotency window, which starts
     * with the attempt that may have run.
     */
    @Test
    void aRetryOfAKeyedRequestMayStartOnlyWithinItsWindow() {
        long sentAt = now;
        submit(1, KEYED_WRITE, 77);
        now += 1_850_000;
        endAttempt(1, 0, AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertEquals(sentAt + 2 * SECOND, actions.lastAttempt().plan().startByUs());
    }

    /** A first attempt that never ran does not start the idempotency window. */
    @Test
    void aKeyedRequestThatNeverRanHasNoWindow() {
        submit(1, KEYED_WRITE, 77);
        now += 1_850_000;
        endAttempt(1, 0, AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        assertEquals(2, attemptCount(1));
        assertTrue(actions.lastAttempt().plan().startByUs() > now + 150_000, "the start is limited as for any plan");
    }

    @Test
    void nothingIsRetriedAfterTheClientsDeadline() {
        submit(1, READ, 77);
        now += SECOND;
        endAttempt(1, 0, AttemptResult.TIMEOUT, CacheStatus.UNKNOWN);
        assertEquals(1, attemptCount(1));
        assertEquals(List.of(1L), actions.rejected);
    }

    /** After a corrupt response, the holder and the parent are tried again, unless they began to drain. */
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
     * Connections were established 1.5 s late, and the attempts that waited for them were sent although a drain (notice
     * of 500 ms here) or a purge (300 ms) announced meanwhile forbade it (simulation zone+brink 288554559052).
     */
    @Test
    void aPlanExpiresBeforeADrainOrAPurgeForbidsIt() {
        long startBy = submit(1, READ, 77).plan().startByUs();
        assertTrue(startBy > now && startBy < now + 300_000, "must start within " + (startBy - now));
    }

    /** Any endpoint may return a corrupt response: the holder is tried once more, and no endpoint is ejected. */
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
