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
        rules.peerMessageReceived(now, 1, new byte[] {1, 2, 3});
        rules.peerMessageReceived(now, 1, new byte[300]);
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
        rules.peerMessageReceived(now, 1, good);
        rules.peerMessageReceived(now, 1, good);
        assertTrue(ask(1, PURE, 77).node() <= 4);
    }

    @Test
    void aFillIsReportedToPeersOfTheZoneOnly() {
        rules.peerMessageReceived(now, 1, told(0, now, new HolderHint(1, 0, 1, 5, 0)));
        rules.peerMessageReceived(now, 2, told(1, now, new HolderHint(1, 0, 1, 5, 0)));
        rules.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 0, now));
        rules.timerExpired(now, 0);
        int before = router.all.size();
        ask(1, PURE, 77);
        answer(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        rules.timerExpired(now + 100_000, 0);
        List<String> tells = router.all.subList(before, router.all.size()).stream()
                .filter(line -> line.startsWith("tell"))
                .toList();
        assertEquals(1, tells.size());
        assertTrue(tells.get(0).startsWith("tell 1 "));
        PeerMessage message = PeerMessageCodec.decode(router.told.get(router.told.size() - 1));
        assertEquals(77, message.holders().get(0).objectId());
        assertEquals(0, message.zone());
        // It comes back as a front of another location: from then on nothing is told to it.
        now += SECOND;
        rules.peerMessageReceived(now, 1, HeartbeatMessages.fromServingMember(1, 2, 1, now));
        int then = router.told.size();
        ask(2, PURE, 78);
        answer(2, 0, AttemptResult.OK, CacheStatus.FILLED);
        rules.timerExpired(now + 100_000, 0);
        rules.timerExpired(now + 200_000, 0);
        assertEquals(then, router.told.size());
    }

    /** Incident i3f6e6f: seven directors of a location each took a cache's whole limit for their own. */
    @Test
    void aPeersLoadCountsUntilThePeerFallsSilent() {
        long hashed = ask(1, PURE, 77).node();
        answer(1, 0, AttemptResult.OK, CacheStatus.FILLED);
        PeerMessage busy =
                new PeerMessage(0, now, 0, 20, 0, List.of(new EndpointLoad(hashed, 60, 16)), List.of(), List.of());
        rules.peerMessageReceived(now, 1, PeerMessageCodec.encode(busy).get(0));
        assertNotEquals(hashed, ask(2, PURE, 77).node());
        answer(2, 0, AttemptResult.OK, CacheStatus.HIT);
        now += SECOND;
        rules.timerExpired(now, 0);
        for (int beat = 0; beat < 120; beat++) {
            now += 100_000;
            rules.timerExpired(now, 0);
        }
        assertEquals(hashed, ask(3, PURE, 77).node(), "what a crashed peer had in hand is forgotten");
    }
}
