package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiewheel.membership.HeartbeatMessages;
import org.junit.jupiter.api.Test;

/** Reports that the routers of a zone send to each other. */
class PeerReportTest extends RequestRouterFixture {
    @Test
    void malformedAndDuplicateMessagesAreIgnored() {
        router.peerMessageReceived(now, 1, new byte[] {1, 2, 3});
        router.peerMessageReceived(now, 1, new byte[300]);
        byte[] valid = PeerMessageCodec.encode(new PeerMessage(
                        0,
                        now,
                        1,
                        16,
                        0,
                        List.of(new EndpointLoad(4712, 3, 4)),
                        List.of(),
                        List.of(new HolderHint(77, 0, 4711, 5, 0))))
                .get(0);
        router.peerMessageReceived(now, 1, valid);
        router.peerMessageReceived(now, 1, valid);
        assertTrue(submit(1, READ, 77).node() <= 4);
    }

    @Test
    void fillIsReportedOnlyToPeersOfTheSameZone() {
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(1, 0, 1, 5, 0)));
        router.peerMessageReceived(now, 2, encodeHolderHint(1, now, new HolderHint(1, 0, 1, 5, 0)));
        router.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 0, now));
        router.timerExpired(now, 0);
        int callsBefore = actions.calls.size();
        submit(1, READ, 77);
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        router.timerExpired(now + 100_000, 0);
        List<String> reports = actions.calls.subList(callsBefore, actions.calls.size()).stream()
                .filter(line -> line.startsWith("sendToPeer"))
                .toList();
        assertEquals(1, reports.size());
        assertTrue(reports.get(0).startsWith("sendToPeer 1 "));
        PeerMessage message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        assertEquals(77, message.holders().get(0).objectId());
        assertEquals(0, message.zone());
        // The peer returns as a router of another zone: from then on it gets no reports.
        now += SECOND;
        router.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 1, now));
        int reportsBefore = actions.peerMessages.size();
        submit(2, READ, 78);
        endAttempt(2, 0, AttemptResult.OK, CacheStatus.FILLED);
        router.timerExpired(now + 100_000, 0);
        router.timerExpired(now + 200_000, 0);
        assertEquals(reportsBefore, actions.peerMessages.size());
    }

    /**
     * Guards against routers that ignore the load of their peers: in incident i3f6e6f, each of the seven routers of a
     * zone used the whole concurrency limit of a cache for itself.
     */
    @Test
    void loadOfAPeerCountsUntilThePeerIsSilent() {
        long selectedCache = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        PeerMessage highLoad = new PeerMessage(
                0, now, 0, 20, 0, List.of(new EndpointLoad(selectedCache, 60, 16)), List.of(), List.of());
        router.peerMessageReceived(now, 1, PeerMessageCodec.encode(highLoad).get(0));
        assertNotEquals(selectedCache, submit(2, READ, 77).node());
        endAttempt(2, 0, AttemptResult.OK, CacheStatus.HIT);
        now += SECOND;
        router.timerExpired(now, 0);
        for (int tick = 0; tick < 120; tick++) {
            now += 100_000;
            router.timerExpired(now, 0);
        }
        assertEquals(selectedCache, submit(3, READ, 77).node(), "the load of a silent peer no longer counts");
    }
}
