package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whether a fill comes from a parent or the origin. */
class FillSourceSelectionTest extends RequestRouterFixture {
    /** Late fills from the origin, as one director sees them. */
    private void originLate(RequestRouter director, RecordingActions sent, long from) {
        for (long id = from; id < from + 20; id++) {
            director.requestArrived(now, request(id, READ, id));
            director.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, sent.lastAttempt().node(), AttemptResult.OK)
                            .durationUs(1_900_000)
                            .requestCompleted(true)
                            .cacheStatus(CacheStatus.FILLED_BY_ORIGIN)
                            .firstByteUs(1_000_000)
                            .build());
        }
    }

    /** Fills of these objects that go to the origin all the same, of 400. */
    private long tried(RequestRouter director, RecordingActions sent, long from) {
        long tried = 0;
        for (long id = from; id < from + 400; id++) {
            director.requestArrived(now, request(id, READ, id));
            RecordingActions.StartedAttempt last = sent.lastAttempt();
            tried += last.plan().cachedOnly() ? 0 : 1;
            director.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, last.node(), AttemptResult.CANCELLED)
                            .durationUs(1_000)
                            .requestCompleted(true)
                            .build());
        }
        return tried;
    }

    /** One parent is left, and its fills come so late; where they come straight from the origin, they come so. */
    private List<Long> sources(long fromParent, long fromOrigin, CacheStatus note, long from) {
        router.endpointsChanged(
                now, EndpointListMode.DELTA, List.of(endpoint(PARENT_B, 1, 1, 0, EndpointState.DRAINING)));
        List<Long> sources = new ArrayList<>();
        for (long id = from; id < from + 20; id++) {
            RecordingActions.StartedAttempt sent = submit(id, READ, id);
            sources.add(sent.plan().fillSource());
            boolean origin = sent.plan().fillSource() == ORIGIN;
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, sent.node(), AttemptResult.OK)
                            .durationUs(origin ? fromOrigin : fromParent)
                            .requestCompleted(true)
                            .cacheStatus(origin ? CacheStatus.FILLED_BY_ORIGIN : note)
                            .firstByteUs(10_000)
                            .build());
            now += 10_000;
        }
        return sources;
    }

    private int sourcedFromA(long firstId) {
        int count = 0;
        for (long id = firstId; id < firstId + 40; id++) {
            count += submit(id, READ, id).plan().fillSource() == PARENT_A ? 1 : 0;
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
        }
        return count;
    }

    @Test
    void aFillComesFromAParentAndTheOriginServesWrites() {
        long source = submit(1, READ, 77).plan().fillSource();
        assertTrue(source == PARENT_A || source == PARENT_B);
        RecordingActions.StartedAttempt write = submit(2, UNSAFE_WRITE, 78);
        assertEquals(ORIGIN, write.plan().fillSource());
        assertEquals(0, write.plan().retentionRank());
    }

    /** Incident i447baf: with the origin stopped, fills hung behind it while parents could still help. */
    @Test
    void mostFillsSpareADegradedOrigin() {
        for (long id = 1; id <= 20; id++) {
            submit(id, READ, id);
            endAttempt(id, 0, AttemptResult.OK, CacheStatus.FILLED);
            submit(100 + id, READ, 100 + id);
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(100 + id, 0, actions.lastAttempt().node(), AttemptResult.OK)
                            .durationUs(1_900_000)
                            .requestCompleted(true)
                            .cacheStatus(CacheStatus.FILLED_BY_ORIGIN)
                            .firstByteUs(1_000_000)
                            .build());
        }
        int heldOnly = 0;
        for (long id = 201; id <= 300; id++) {
            boolean held = submit(id, READ, id).plan().cachedOnly();
            heldOnly += held ? 1 : 0;
            endAttempt(
                    id,
                    0,
                    held ? AttemptResult.MISS : AttemptResult.OK,
                    held ? CacheStatus.SOURCE_MISS : CacheStatus.FILLED);
            assertEquals(1, attemptCount(id), "a spared fill ends at once");
        }
        assertTrue(heldOnly > 60 && heldOnly < 100, "some fills try the origin again: " + heldOnly);
    }

    /**
     * join+vast 213653845384, 14 fronts: while the origin was late each front still sent 15% of its fills there, so the
     * fleet sent 14 times what one front tries, and writes waited behind them (apply served 0.73, G 0.744).
     */
    @Test
    void allRoutersTogetherTryALateOriginAsOneWould() {
        RecordingActions sent = new RecordingActions();
        RequestRouter director = startRouter(settings(0, 14, false, SiblingFills.OFF), sent);
        originLate(director, sent, 1);
        long tried = tried(director, sent, 1_000);
        assertTrue(tried >= 1 && tried <= 16, "of 400 fills, tried at the origin: " + tried);
    }

    /** The same day: each front found the late origin by itself, 6.3 to 9.1 s into the day. */
    @Test
    void aPeersReportOfALateOriginCounts() {
        assertTrue(tried(router, actions, 1_000) > 390, "nothing was late yet");
        for (int peer = 1; peer <= 12; peer++) {
            router.peerMessageReceived(
                    now,
                    peer,
                    PeerMessageCodec.encode(new PeerMessage(0, now, 0, 16, 0.9, List.of(), List.of(), List.of()))
                            .get(0));
        }
        assertTrue(tried(router, actions, 2_000) < 100, "spared once peers told of it");
        now += 3 * SECOND;
        assertTrue(tried(router, actions, 3_000) > 390, "asked again once nobody told of it lately");
    }

    /**
     * Seen on a herd's day of 100 fronts: each heard of the origin once in seconds, so that those which had seen it
     * late refused an eighth of all requests for 10 s after it had come to itself.
     */
    @Test
    void anOriginThatWasLateLongAgoIsTriedAgain() {
        for (long id = 1; id <= 5; id++) {
            submit(id, READ, id);
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, actions.lastAttempt().node(), AttemptResult.OK)
                            .durationUs(1_900_000)
                            .requestCompleted(true)
                            .cacheStatus(CacheStatus.FILLED_BY_ORIGIN)
                            .firstByteUs(1_000_000)
                            .build());
        }
        int before = 0;
        int after = 0;
        for (long id = 101; id <= 130; id++) {
            before += submit(id, READ, id).plan().cachedOnly() ? 1 : 0;
            endAttempt(id, 0, AttemptResult.CANCELLED, CacheStatus.UNKNOWN);
        }
        now += 2 * SECOND;
        for (long id = 201; id <= 230; id++) {
            after += submit(id, READ, id).plan().cachedOnly() ? 1 : 0;
            endAttempt(id, 0, AttemptResult.CANCELLED, CacheStatus.UNKNOWN);
        }
        assertTrue(before > 15, "in trouble: " + before);
        assertEquals(0, after);
    }

    /**
     * join+vast 913: with one parent draining and its successor cold, the one left was slow (1.0 to 1.3 s a fill, up to
     * 29 time-outs a second over the fleet), while fills straight from the origin took 0.2 s.
     */
    @Test
    void aLateParentGivesWayToAnOriginThatIsNot() {
        List<Long> sources = sources(1_400_000, 200_000, CacheStatus.FILLED, 1);
        assertEquals(PARENT_A, sources.get(0));
        assertEquals(List.of(ORIGIN), sources.subList(1, 20).stream().distinct().toList());
        now += 3 * SECOND;
        assertEquals(PARENT_A, submit(100, READ, 100).plan().fillSource(), "not heard of lately, it is tried again");
    }

    /** A parent in time is asked first, whatever the origin could do: its bytes cost. */
    @Test
    void aParentThatMeetsTheObjectiveComesFirst() {
        assertEquals(
                List.of(PARENT_A),
                sources(400_000, 50_000, CacheStatus.FILLED, 1).stream()
                        .distinct()
                        .toList());
    }

    /** Late behind a late origin, or where the way to the caches is slow for all, the origin is no way out. */
    @Test
    void aLateOriginDoesNotReplaceALateParent() {
        assertEquals(
                List.of(PARENT_A),
                sources(1_900_000, 50_000, CacheStatus.FILLED_BY_ORIGIN, 1).stream()
                        .distinct()
                        .toList());
        now += 10 * SECOND;
        long atOrigin = sources(1_000_000, 1_200_000, CacheStatus.FILLED, 100).stream()
                .filter(s -> s == ORIGIN)
                .count();
        assertTrue(atOrigin <= 2, "tried at an origin that was slower still: " + atOrigin);
    }

    /** A parent with one bad spell is heard again: its latency is not remembered for good. */
    @Test
    void aParentsHighLatencyIsForgotten() {
        for (long id = 1; id <= 30; id++) {
            RecordingActions.StartedAttempt sent = submit(id, READ, id);
            boolean slow = sent.plan().fillSource() == PARENT_A;
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, sent.node(), AttemptResult.OK)
                            .durationUs(slow ? 1_500_000 : 50_000)
                            .requestCompleted(true)
                            .cacheStatus(CacheStatus.FILLED)
                            .firstByteUs(slow ? 1_400_000 : 10_000)
                            .build());
        }
        assertEquals(0, sourcedFromA(1_000));
        now += 3 * SECOND;
        assertTrue(sourcedFromA(2_000) > 0);
    }
}
