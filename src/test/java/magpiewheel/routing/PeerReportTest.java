package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import magpiewheel.membership.HeartbeatMessages;
import org.junit.jupiter.api.Test;

/** What routers of a zone report to each other. */
class PeerReportTest extends RequestRouterFixture {
    @Test
    void malformedAndRepeatedMessagesDoNoHarm() {
        router.peerMessageReceived(now, 1, new byte[] {1, 2, 3});
        router.peerMessageReceived(now, 1, new byte[300]);
        byte[] good = PeerMessageCodec.encode(new PeerMessage(
                        0,
                        now,
                        1,
                        16,
                        0,
                        List.of(new EndpointLoad(4712, 3, 4)),
                        List.of(),
                        List.of(new HolderHint(77, 0, 4711, 5, 0))))
                .get(0);
        router.peerMessageReceived(now, 1, good);
        router.peerMessageReceived(now, 1, good);
        assertTrue(submit(1, READ, 77).node() <= 4);
    }

    @Test
    void aFillIsReportedToPeersOfTheZoneOnly() {
        router.peerMessageReceived(now, 1, encodeHolderHint(0, now, new HolderHint(1, 0, 1, 5, 0)));
        router.peerMessageReceived(now, 2, encodeHolderHint(1, now, new HolderHint(1, 0, 1, 5, 0)));
        router.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 0, now));
        router.timerExpired(now, 0);
        int before = actions.calls.size();
        submit(1, READ, 77);
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        router.timerExpired(now + 100_000, 0);
        List<String> tells = actions.calls.subList(before, actions.calls.size()).stream()
                .filter(line -> line.startsWith("tell"))
                .toList();
        assertEquals(1, tells.size());
        assertTrue(tells.get(0).startsWith("tell 1 "));
        PeerMessage message = PeerMessageCodec.decode(actions.peerMessages.get(actions.peerMessages.size() - 1));
        assertEquals(77, message.holders().get(0).objectId());
        assertEquals(0, message.zone());
        // It comes back as a front of another location: from then on nothing is told to it.
        now += SECOND;
        router.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 1, now));
        int then = actions.peerMessages.size();
        submit(2, READ, 78);
        endAttempt(2, 0, AttemptResult.OK, CacheStatus.FILLED);
        router.timerExpired(now + 100_000, 0);
        router.timerExpired(now + 200_000, 0);
        assertEquals(then, actions.peerMessages.size());
    }

    /** Incident i3f6e6f: seven directors of a location each took a cache's whole limit for their own. */
    @Test
    void aPeersLoadCountsUntilThePeerFallsSilent() {
        long hashed = submit(1, READ, 77).node();
        endAttempt(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        PeerMessage busy =
                new PeerMessage(0, now, 0, 20, 0, List.of(new EndpointLoad(hashed, 60, 16)), List.of(), List.of());
        router.peerMessageReceived(now, 1, PeerMessageCodec.encode(busy).get(0));
        assertNotEquals(hashed, submit(2, READ, 77).node());
        endAttempt(2, 0, AttemptResult.OK, CacheStatus.HIT);
        now += SECOND;
        router.timerExpired(now, 0);
        for (int beat = 0; beat < 120; beat++) {
            now += 100_000;
            router.timerExpired(now, 0);
        }
        assertEquals(hashed, submit(3, READ, 77).node(), "what a crashed peer had in hand is forgotten");
    }
}
