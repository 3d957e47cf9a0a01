package magpiewheel.routing;

import java.util.SplittableRandom;
import magpiewheel.membership.MembershipView;

/** Whether the origin is degraded: fills from it come late while those that parents hold do not. */
final class OriginHealth {
    /** Share of late fills from which the origin counts as degraded. */
    private static final double DEGRADED_RATIO = 0.5;
    /** Share of fills that still try a degraded origin, of all routers together. */
    private static final double PROBE_SHARE = 0.15;

    private final MembershipView membership;
    private final SplittableRandom random;
    private final LateRatio originLate = new LateRatio(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);
    private final LateRatio parentLate = new LateRatio(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);

    OriginHealth(MembershipView membership, SplittableRandom random) {
        this.membership = membership;
        this.random = random;
    }

    /** Whether fills from the origin are late and those from parents are not: else it is the link that is full. */
    boolean isDegraded(long now) {
        return originLate.at(now) > Math.max(DEGRADED_RATIO, OutlierDetector.FAILURE_RATIO * parentLate.at(now));
    }

    /** Whether a fill is kept from a degraded origin; a share of all routers' fills still tries it. */
    boolean suppressesFill(long now) {
        return isDegraded(now) && random.nextDouble() >= PROBE_SHARE / membership.quotaDivisor(now);
    }

    /** A response that was no hit came from the origin, or from what a parent held. */
    void fillEnded(long now, boolean byOrigin, boolean late) {
        (byOrigin ? originLate : parentLate).add(now, late);
    }

    /** The origin failed or did not answer in time. */
    void originFailed(long now) {
        originLate.add(now, true);
    }

    /** A peer reported how many of its fills from the origin were late. */
    void reportedByPeer(long now, double lateRatio) {
        originLate.reportedByPeer(now, lateRatio);
    }

    /** Share of late fills from the origin lately, from 0 to 1. */
    double lateRatio(long now) {
        return originLate.at(now);
    }
}
