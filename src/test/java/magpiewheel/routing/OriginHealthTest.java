package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import magpiewheel.membership.MembershipProtocol;
import org.junit.jupiter.api.Test;

class OriginHealthTest {
    private static final long NOW = 1_000_000_000;
    private final OriginHealth health = new OriginHealth(
            new MembershipProtocol(
                    NOW - 60_000_000,
                    RouterTopology.builder(0, 1, 0).build().membershipConfig(0, 50_000, 1, false),
                    null),
            new SplittableRandom(1));

    private void endFills(int count, boolean byOrigin, boolean late) {
        for (int i = 0; i < count; i++) {
            health.fillEnded(NOW, byOrigin, late);
        }
    }

    @Test
    void anOriginWhoseFillsAreLateIsDegraded() {
        assertFalse(health.isDegraded(NOW));
        endFills(20, true, true);
        assertTrue(health.isDegraded(NOW));
        assertFalse(health.isDegraded(NOW + Smoothing.LATENCY_MEMORY_US), "the late fills have expired");
    }

    @Test
    void theOriginIsNotDegradedIfFillsFromParentsAreLateAsWell() {
        endFills(20, true, true);
        endFills(20, false, true);
        assertFalse(health.isDegraded(NOW));
    }

    @Test
    void someFillsStillGoToADegradedOrigin() {
        assertFalse(health.suppressesFill(NOW), "all fills go to a healthy origin");
        endFills(20, true, true);
        int sentToOrigin = 0;
        for (int i = 0; i < 1_000; i++) {
            sentToOrigin += health.suppressesFill(NOW) ? 0 : 1;
        }
        assertTrue(sentToOrigin > 100 && sentToOrigin < 200, "about 15%: " + sentToOrigin);
    }

    @Test
    void failuresAndPeerReportsCountAsLateFills() {
        health.originFailed(NOW);
        assertTrue(health.isDegraded(NOW));
        endFills(100, true, false);
        health.reportedByPeer(NOW, 0);
        double before = health.lateRatio(NOW);
        health.reportedByPeer(NOW, 1);
        assertTrue(health.lateRatio(NOW) > before);
        assertEquals(0, health.lateRatio(NOW + Smoothing.LATENCY_MEMORY_US));
    }
}
