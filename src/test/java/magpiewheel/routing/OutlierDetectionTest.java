package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which endpoints are ejected for failures, refused connections and silence. */
class OutlierDetectionTest extends RequestRouterFixture {
    @Test
    void failingEndpointsAreEjectedButNeverMoreThanHalf() {
        for (long id = 1; id <= 300; id++) {
            router.requestArrived(now, request(id, READ, id));
            for (int i = 0; i < attemptCount(id); i++) {
                boolean failing =
                        actions.attempts.get(actions.attempts.size() - 1).node() <= 3;
                endAttempt(
                        id,
                        i,
                        failing ? AttemptResult.ERROR : AttemptResult.OK,
                        failing ? CacheStatus.UNKNOWN : CacheStatus.HIT);
                if (!failing) {
                    break;
                }
            }
        }
        long toHealthy = 0;
        int before = actions.attempts.size();
        for (long id = 1001; id <= 1100; id++) {
            router.requestArrived(now, request(id, READ, id));
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        for (RecordingActions.StartedAttempt sent : actions.attempts.subList(before, actions.attempts.size())) {
            toHealthy += sent.node() == 4 ? 1 : 0;
        }
        assertTrue(toHealthy < actions.attempts.size() - before, "some failing caches stay in use");
        assertTrue(toHealthy > 30, "the healthy cache gets more than an equal share: " + toHealthy);
    }

    /**
     * Caches vanished silently and discovery reported it 9 s late, so attempts hung until their clients disconnected
     * (simulation zone_loss).
     */
    @Test
    void anUnresponsiveCacheIsEjectedAndItsRequestsAreRetried() {
        RecordingActions recorded = new RecordingActions();
        RequestRouter bypassing = startRouter(bypassSettings(), recorded);
        for (long id = 1; id <= 3; id++) {
            bypassing.requestArrived(now, request(id, READ, 77));
        }
        long hashed = recorded.lastAttempt().node();
        bypassing.timerExpired(now + 300_000, 0);
        assertFalse(recorded.calls.contains("cancelAttempt 1 0"), "it may still respond");
        bypassing.timerExpired(now + 2 * SECOND, 0);
        for (long id = 1; id <= 3; id++) {
            assertTrue(recorded.calls.contains("cancelAttempt " + id + " 0"));
        }
        bypassing.attemptEnded(
                now + 2 * SECOND - 1,
                AttemptOutcome.builder(1, 0, hashed, AttemptResult.CANCELLED)
                        .durationUs(1)
                        .build());
        assertNotEquals(hashed, recorded.lastAttempt().node());
        assertEquals(1, recorded.lastAttempt().request());
    }

    /**
     * A host without a running process refuses connections at once. Three refusals in a row eject a cache, even if the
     * whole tier is ejected.
     */
    @Test
    void cachesThatRefuseConnectionsAreAllEjected() {
        RecordingActions recorded = new RecordingActions();
        RequestRouter bypassing = startRouter(bypassSettings(), recorded);
        for (long id = 1; id <= 40; id++) {
            bypassing.requestArrived(now, request(id, READ, id));
            for (int i = 0;
                    recorded.lastAttempt().request() == id
                            && recorded.lastAttempt().node() <= 4
                            && i < 6;
                    i++) {
                bypassing.attemptEnded(
                        now,
                        AttemptOutcome.builder(id, i, recorded.lastAttempt().node(), AttemptResult.UNREACHABLE)
                                .durationUs(400)
                                .build());
            }
            if (recorded.lastAttempt().node() > 4) {
                bypassing.attemptEnded(
                        now,
                        AttemptOutcome.builder(
                                        id,
                                        (int) recorded.attempts.stream()
                                                        .filter(s -> s.request()
                                                                == recorded.lastAttempt()
                                                                        .request())
                                                        .count()
                                                - 1,
                                        recorded.lastAttempt().node(),
                                        AttemptResult.OK)
                                .durationUs(400)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.FILLED)
                                .build());
            }
        }
        bypassing.requestArrived(now, request(99, READ, 99));
        assertTrue(
                recorded.lastAttempt().request() == 99 && recorded.lastAttempt().node() > 4,
                "the request bypasses the ejected caches: " + recorded.lastAttempt());
    }

    /**
     * Requests of faulty clients for objects that no endpoint knows got 8 attempts in 10 ms, and healthy endpoints were
     * ejected for them.
     */
    @Test
    void aRequestWithTwoErrorsEndsWithoutEjectingEndpoints() {
        for (long id = 1; id <= 20; id++) {
            submit(id, READ, 1_000 + id);
            endAttempt(id, 0, AttemptResult.ERROR, CacheStatus.UNKNOWN);
            endAttempt(id, 1, AttemptResult.ERROR, CacheStatus.UNKNOWN);
            assertEquals(2, attemptCount(id));
            assertTrue(actions.rejected.contains(id));
            now += 100_000;
        }
        long first = submit(100, READ, 77).node();
        endAttempt(100, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(first, submit(101, READ, 77).node());
        assertTrue(first <= 4, "the read still goes to a cache");
    }

    /** If another endpoint serves the request, the error counts against the first one, which is ejected. */
    @Test
    void anEndpointIsAtFaultForAnErrorOnceAnotherServesTheRequest() {
        long failing = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.ERROR, CacheStatus.UNKNOWN);
        assertNotEquals(failing, actions.lastAttempt().node());
        endAttempt(1, 1, AttemptResult.OK, CacheStatus.UNKNOWN);
        for (long id = 2; id <= 40; id++) {
            assertNotEquals(failing, submit(id, READ, 1_000 + id).node(), "ejected");
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }
}
