package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whether a fill comes from a parent or the origin. */
class FillSourceSelectionTest extends RequestRouterFixture {
    /** Ends 20 requests with late fills from the origin. */
    private void completeLateOriginFills(RequestRouter requestRouter, RecordingActions recorded, long from) {
        for (long id = from; id < from + 20; id++) {
            requestRouter.requestArrived(now, request(id, READ, id));
            requestRouter.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, recorded.lastAttempt().node(), AttemptResult.OK)
                            .durationUs(1_900_000)
                            .requestCompleted(true)
                            .cacheStatus(CacheStatus.FILLED_BY_ORIGIN)
                            .firstByteUs(1_000_000)
                            .build());
        }
    }

    /** Returns how many of 400 requests may still be filled from the origin. */
    private long fillsSentToOrigin(RequestRouter requestRouter, RecordingActions recorded, long from) {
        long sentToOrigin = 0;
        for (long id = from; id < from + 400; id++) {
            requestRouter.requestArrived(now, request(id, READ, id));
            RecordingActions.StartedAttempt last = recorded.lastAttempt();
            sentToOrigin += last.plan().cachedOnly() ? 0 : 1;
            requestRouter.attemptEnded(
                    now,
                    AttemptOutcome.builder(id, 0, last.node(), AttemptResult.CANCELLED)
                            .durationUs(1_000)
                            .requestCompleted(true)
                            .build());
        }
        return sentToOrigin;
    }

    /**
     * Returns the fill sources of 20 requests after one parent drains. Fills from the other parent and from the origin
     * take the given times.
     */
    private List<Long> sources(long parentUs, long originUs, CacheStatus parentStatus, long from) {
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
                            .durationUs(origin ? originUs : parentUs)
                            .requestCompleted(true)
                            .cacheStatus(origin ? CacheStatus.FILLED_BY_ORIGIN : parentStatus)
                            .firstByteUs(10_000)
                            .build());
            now += 10_000;
        }
        return sources;
    }

    private int fillsFromParentA(long firstId) {
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

    /**
     * With the origin stopped, fills waited for it although parents could still serve what they held (incident
     * i447baf).
     */
    @Test
    void mostFillsDoNotGoToADegradedOrigin() {
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
        int cachedOnly = 0;
        for (long id = 201; id <= 300; id++) {
            boolean isCachedOnly = submit(id, READ, id).plan().cachedOnly();
            cachedOnly += isCachedOnly ? 1 : 0;
            endAttempt(
                    id,
                    0,
                    isCachedOnly ? AttemptResult.MISS : AttemptResult.OK,
                    isCachedOnly ? CacheStatus.SOURCE_MISS : CacheStatus.FILLED);
            assertEquals(1, attemptCount(id), "a fill kept from the origin ends at once");
        }
        assertTrue(cachedOnly > 60 && cachedOnly < 100, "some fills still go to the origin: " + cachedOnly);
    }

    /**
     * Each of 14 routers sent 15% of its fills to a late origin, so that together they sent 14 times the fills of one,
     * and writes waited behind them (simulation join+vast 213653845384: served share of apply 0.73, G 0.744).
     */
    @Test
    void allRoutersTogetherSendALateOriginAsManyFillsAsOneRouter() {
        RecordingActions recorded = new RecordingActions();
        RequestRouter requestRouter = startRouter(settings(0, 14, false, SiblingFills.OFF), recorded);
        completeLateOriginFills(requestRouter, recorded, 1);
        long sentToOrigin = fillsSentToOrigin(requestRouter, recorded, 1_000);
        assertTrue(sentToOrigin >= 1 && sentToOrigin <= 16, "of 400 fills, sent to the origin: " + sentToOrigin);
    }

    /**
     * Without peer reports, each router detected the late origin only by its own fills, 6.3 to 9.1 s after the start of
     * the same simulation.
     */
    @Test
    void aPeersReportOfALateOriginCounts() {
        assertTrue(fillsSentToOrigin(router, actions, 1_000) > 390, "the origin is not late yet");
        for (int peer = 1; peer <= 12; peer++) {
            router.peerMessageReceived(
                    now,
                    peer,
                    PeerMessageCodec.encode(new PeerMessage(0, now, 0, 16, 0.9, List.of(), List.of(), List.of()))
                            .get(0));
        }
        assertTrue(fillsSentToOrigin(router, actions, 2_000) < 100, "few fills once peers reported the late origin");
        now += 3 * SECOND;
        assertTrue(fillsSentToOrigin(router, actions, 3_000) > 390, "fills again once the reports have expired");
    }

    /**
     * With 100 routers (simulation herd), each got a response from the origin only every few seconds. Those that had
     * seen it late rejected an eighth of all requests for 10 s after it had recovered.
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
        int beforeExpiry = 0;
        int afterExpiry = 0;
        for (long id = 101; id <= 130; id++) {
            beforeExpiry += submit(id, READ, id).plan().cachedOnly() ? 1 : 0;
            endAttempt(id, 0, AttemptResult.CANCELLED, CacheStatus.UNKNOWN);
        }
        now += 2 * SECOND;
        for (long id = 201; id <= 230; id++) {
            afterExpiry += submit(id, READ, id).plan().cachedOnly() ? 1 : 0;
            endAttempt(id, 0, AttemptResult.CANCELLED, CacheStatus.UNKNOWN);
        }
        assertTrue(beforeExpiry > 15, "cached-only while the origin is degraded: " + beforeExpiry);
        assertEquals(0, afterExpiry);
    }

    /**
     * With one parent draining and its successor cold, the remaining parent was slow (1.0 to 1.3 s per fill, up to 29
     * time-outs per second over all routers), while fills directly from the origin took 0.2 s (simulation join+vast
     * 913).
     */
    @Test
    void aLateParentIsReplacedByAnOriginInTime() {
        List<Long> sources = sources(1_400_000, 200_000, CacheStatus.FILLED, 1);
        assertEquals(PARENT_A, sources.get(0));
        assertEquals(List.of(ORIGIN), sources.subList(1, 20).stream().distinct().toList());
        now += 3 * SECOND;
        assertEquals(PARENT_A, submit(100, READ, 100).plan().fillSource(), "used again once its latency has expired");
    }

    /** A parent in time is preferred even to a faster origin, since transfers from the origin have a cost. */
    @Test
    void aParentThatMeetsTheObjectiveComesFirst() {
        assertEquals(
                List.of(PARENT_A),
                sources(400_000, 50_000, CacheStatus.FILLED, 1).stream()
                        .distinct()
                        .toList());
    }

    /** The origin does not help if it is late itself, or if the link to the caches is slow for all sources. */
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
        assertTrue(atOrigin <= 2, "filled from an origin that was slower still: " + atOrigin);
    }

    /** A parent that was slow for a short time is used again, because its latency expires. */
    @Test
    void theHighLatencyOfAParentExpires() {
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
        assertEquals(0, fillsFromParentA(1_000));
        now += 3 * SECOND;
        assertTrue(fillsFromParentA(2_000) > 0);
    }
}
