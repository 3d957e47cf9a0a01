package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which endpoints are ejected for their failures. */
class OutlierDetectionTest extends RequestRouterFixture {
    @Test
    void failingEndpointsAreEjectedButNeverMoreThanHalf() {
        for (long id = 1; id <= 300; id++) {
            router.requestArrived(now, request(id, READ, id));
            for (int i = 0; i < attemptCount(id); i++) {
                boolean bad = actions.attempts.get(actions.attempts.size() - 1).node() <= 3;
                endAttempt(
                        id,
                        i,
                        bad ? AttemptResult.ERROR : AttemptResult.OK,
                        bad ? CacheStatus.UNKNOWN : CacheStatus.HIT);
                if (!bad) {
                    break;
                }
            }
        }
        long sound = 0;
        int before = actions.attempts.size();
        for (long id = 1001; id <= 1100; id++) {
            router.requestArrived(now, request(id, READ, id));
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        for (RecordingActions.StartedAttempt sent : actions.attempts.subList(before, actions.attempts.size())) {
            sound += sent.node() == 4 ? 1 : 0;
        }
        assertTrue(sound < actions.attempts.size() - before, "some of the others stay in use");
        assertTrue(sound > 30, "the sound one carries more than its even share: " + sound);
    }

    /** zone_loss, silent: the list told of it 9 s late, and attempts hung until their clients left. */
    @Test
    void anUnresponsiveCacheIsEjectedAndItsRequestsAreRetried() {
        RecordingActions seen = new RecordingActions();
        RequestRouter judging = startRouter(bypassSettings(), seen);
        for (long id = 1; id <= 3; id++) {
            judging.requestArrived(now, request(id, READ, 77));
        }
        long hashed = seen.lastAttempt().node();
        judging.timerExpired(now + 300_000, 0);
        assertFalse(seen.calls.contains("cancel 1 0"), "it may still speak");
        judging.timerExpired(now + 2 * SECOND, 0);
        for (long id = 1; id <= 3; id++) {
            assertTrue(seen.calls.contains("cancel " + id + " 0"));
        }
        judging.attemptEnded(
                now + 2 * SECOND - 1,
                AttemptOutcome.builder(1, 0, hashed, AttemptResult.CANCELLED)
                        .durationUs(1)
                        .build());
        assertNotEquals(hashed, seen.lastAttempt().node());
        assertEquals(1, seen.lastAttempt().request());
    }

    /** A dead process refuses at once: three refusals in a row are enough, however many of its like do the same. */
    @Test
    void cachesThatRefuseConnectionsAreAllEjected() {
        RecordingActions seen = new RecordingActions();
        RequestRouter judging = startRouter(bypassSettings(), seen);
        for (long id = 1; id <= 40; id++) {
            judging.requestArrived(now, request(id, READ, id));
            for (int i = 0;
                    seen.lastAttempt().request() == id && seen.lastAttempt().node() <= 4 && i < 6;
                    i++) {
                judging.attemptEnded(
                        now,
                        AttemptOutcome.builder(id, i, seen.lastAttempt().node(), AttemptResult.UNREACHABLE)
                                .durationUs(400)
                                .build());
            }
            if (seen.lastAttempt().node() > 4) {
                judging.attemptEnded(
                        now,
                        AttemptOutcome.builder(
                                        id,
                                        (int) seen.attempts.stream()
                                                        .filter(s -> s.request()
                                                                == seen.lastAttempt()
                                                                        .request())
                                                        .count()
                                                - 1,
                                        seen.lastAttempt().node(),
                                        AttemptResult.OK)
                                .durationUs(400)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.FILLED)
                                .build());
            }
        }
        judging.requestArrived(now, request(99, READ, 99));
        assertTrue(
                seen.lastAttempt().request() == 99 && seen.lastAttempt().node() > 4,
                "it goes past them: " + seen.lastAttempt());
    }

    /** Seen with bad clients: what no node knows was tried 8 times in 10 ms, and sound nodes were ejected for it. */
    @Test
    void aRequestWithTwoErrorsEndsAndNoEndpointIsAtFault() {
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
        assertTrue(first <= 4, "still a cache");
    }

    /** Where another node serves the request, the one that rejected it was at fault, and is left out. */
    @Test
    void anEndpointIsAtFaultForAnErrorOnceAnotherServesTheRequest() {
        long bad = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.ERROR, CacheStatus.UNKNOWN);
        assertNotEquals(bad, actions.lastAttempt().node());
        endAttempt(1, 1, AttemptResult.OK, CacheStatus.UNKNOWN);
        for (long id = 2; id <= 40; id++) {
            assertNotEquals(bad, submit(id, READ, 1_000 + id).node(), "ejected");
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }
}
