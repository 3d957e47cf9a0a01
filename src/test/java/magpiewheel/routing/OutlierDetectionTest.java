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
            rules.requestArrived(now, request(id, PURE, id));
            for (int i = 0; i < attempts(id); i++) {
                boolean bad = router.sent.get(router.sent.size() - 1).node() <= 3;
                answer(
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
        int before = router.sent.size();
        for (long id = 1001; id <= 1100; id++) {
            rules.requestArrived(now, request(id, PURE, id));
            answer(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        for (RecordingActions.Sent sent : router.sent.subList(before, router.sent.size())) {
            sound += sent.node() == 4 ? 1 : 0;
        }
        assertTrue(sound < router.sent.size() - before, "some of the others stay in use");
        assertTrue(sound > 30, "the sound one carries more than its even share: " + sound);
    }

    /** zone_loss, silent: the list told of it 9 s late, and attempts hung until their clients left. */
    @Test
    void anUnresponsiveCacheIsEjectedAndItsRequestsAreRetried() {
        RecordingActions seen = new RecordingActions();
        RequestRouter judging = started(direct(), seen);
        for (long id = 1; id <= 3; id++) {
            judging.requestArrived(now, request(id, PURE, 77));
        }
        long hashed = seen.last().node();
        judging.timerExpired(now + 300_000, 0);
        assertFalse(seen.all.contains("cancel 1 0"), "it may still speak");
        judging.timerExpired(now + 2 * SECOND, 0);
        for (long id = 1; id <= 3; id++) {
            assertTrue(seen.all.contains("cancel " + id + " 0"));
        }
        judging.attemptEnded(
                now + 2 * SECOND - 1,
                AttemptOutcome.builder(1, 0, hashed, AttemptResult.CANCELLED)
                        .durationUs(1)
                        .build());
        assertNotEquals(hashed, seen.last().node());
        assertEquals(1, seen.last().request());
    }

    /** A dead process refuses at once: three refusals in a row are enough, however many of its like do the same. */
    @Test
    void cachesThatRefuseConnectionsAreAllEjected() {
        RecordingActions seen = new RecordingActions();
        RequestRouter judging = started(direct(), seen);
        for (long id = 1; id <= 40; id++) {
            judging.requestArrived(now, request(id, PURE, id));
            for (int i = 0; seen.last().request() == id && seen.last().node() <= 4 && i < 6; i++) {
                judging.attemptEnded(
                        now,
                        AttemptOutcome.builder(id, i, seen.last().node(), AttemptResult.UNREACHABLE)
                                .durationUs(400)
                                .build());
            }
            if (seen.last().node() > 4) {
                judging.attemptEnded(
                        now,
                        AttemptOutcome.builder(
                                        id,
                                        (int) seen.sent.stream()
                                                        .filter(s -> s.request()
                                                                == seen.last().request())
                                                        .count()
                                                - 1,
                                        seen.last().node(),
                                        AttemptResult.OK)
                                .durationUs(400)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.FILLED)
                                .build());
            }
        }
        judging.requestArrived(now, request(99, PURE, 99));
        assertTrue(seen.last().request() == 99 && seen.last().node() > 4, "it goes past them: " + seen.last());
    }

    /** Seen with bad clients: what no node knows was tried 8 times in 10 ms, and sound nodes were ejected for it. */
    @Test
    void aRequestWithTwoErrorsEndsAndNoEndpointIsAtFault() {
        for (long id = 1; id <= 20; id++) {
            ask(id, PURE, 1_000 + id);
            answer(id, 0, AttemptResult.ERROR, CacheStatus.UNKNOWN);
            answer(id, 1, AttemptResult.ERROR, CacheStatus.UNKNOWN);
            assertEquals(2, attempts(id));
            assertTrue(router.refused.contains(id));
            now += 100_000;
        }
        long first = ask(100, PURE, 77).node();
        answer(100, 0, AttemptResult.OK, CacheStatus.FILLED);
        assertEquals(first, ask(101, PURE, 77).node());
        assertTrue(first <= 4, "still a cache");
    }

    /** Where another node serves the request, the one that rejected it was at fault, and is left out. */
    @Test
    void anEndpointIsAtFaultForAnErrorOnceAnotherServesTheRequest() {
        long bad = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.ERROR, CacheStatus.UNKNOWN);
        assertNotEquals(bad, router.last().node());
        answer(1, 1, AttemptResult.OK, CacheStatus.UNKNOWN);
        for (long id = 2; id <= 40; id++) {
            assertNotEquals(bad, ask(id, PURE, 1_000 + id).node(), "ejected");
            answer(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
    }
}
