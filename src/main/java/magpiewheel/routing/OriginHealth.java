package magpiewheel.routing;

import java.util.SplittableRandom;
import magpiewheel.membership.MembershipView;

/** Detects a degraded origin: fills from it are late while fills of what parents hold are not. */
final class OriginHealth {
    /** Share of late fills above which the origin counts as degraded. */
    private static final double DEGRADED_RATIO = 0.5;
    /** Share of fills that still go to a degraded origin, over all routers together. */
    private static final double PROBE_SHARE = 0.15;

    private final MembershipView membership;
    private final SplittableRandom random;
    private final LateRatio originLate = new LateRatio(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);
    private final LateRatio parentLate = new LateRatio(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);

    OriginHealth(MembershipView membership, SplittableRandom random) {
        this.membership = membership;
        this.random = random;
    }

    /** Whether fills from the origin are late and those from parents are not; if both are late, the link is full. */
    boolean isDegraded(long now) {
        return originLate.at(now) > Math.max(DEGRADED_RATIO, OutlierDetector.FAILURE_RATIO * parentLate.at(now));
    }

    /** Whether a fill must not reach a degraded origin; a share of all routers' fills still goes there. */
    boolean suppressesFill(long now) {
        return isDegraded(now) && random.nextDouble() >= PROBE_SHARE / membership.quotaDivisor(now);
    }

    /** Records the response to a miss, filled from the origin or from what a parent held. */
    void fillEnded(long now, boolean byOrigin, boolean late) {
        (byOrigin ? originLate : parentLate).add(now, late);
    }

    /** Records that the origin failed or did not answer in time. */
    void originFailed(long now) {
        originLate.add(now, true);
    }

    /** Records the share of late fills from the origin that a peer reported. */
    void reportedByPeer(long now, double lateRatio) {
        originLate.reportedByPeer(now, lateRatio);
    }

    /** Returns the recent share of late fills from the origin, from 0 to 1. */
    double lateRatio(long now) {
        return originLate.at(now);
    }
}
