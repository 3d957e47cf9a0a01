package magpiewheel.staleness;

/**
 * The offset of the origin's clock from the own, as an interval that contains it for certain. Each bound was measured
 * at a moment, and widens with the distance from it by {@link #DRIFT_PPM}.
 */
final class OriginClock {
    /** Both clocks may be slewed by 500 ppm, the most that kernels allow, and be wrong by 100 ppm besides. */
    static final long DRIFT_PPM = 1_200;
    /** Marks are whole ms, rounded down. */
    static final long ORIGIN_TIME_RESOLUTION_US = 1_000;
    /** An upper bound this far above the lower one is as good as none. */
    static final long MAX_WIDTH_US = 2_000_000;

    private long lowerOffsetUs = Long.MIN_VALUE;
    private long lowerMeasuredAt;
    private long upperOffsetUs = Long.MAX_VALUE;
    private long upperMeasuredAt;
    private long clockSteps;

    /** A copy minted at a time of the origin's was here at a time of the own clock. */
    void raiseLowerBound(long now, long originTimeUs) {
        long offsetUs = originTimeUs - now;
        if (lowerOffsetUs == Long.MIN_VALUE || offsetUs > lowerOffsetAt(now)) {
            lowerOffsetUs = offsetUs;
            lowerMeasuredAt = now;
            if (upperOffsetUs != Long.MAX_VALUE && lowerOffsetUs > upperOffsetAt(now)) {
                upperOffsetUs = Long.MAX_VALUE;
                clockSteps++;
            }
        }
    }

    /** The origin's clock had not passed a time when the own one showed another. */
    void lowerUpperBound(long at, long originTimeUs) {
        long offsetUs = originTimeUs - at;
        if (upperOffsetUs == Long.MAX_VALUE || offsetUs < upperOffsetAt(at)) {
            upperOffsetUs = offsetUs;
            upperMeasuredAt = at;
            if (lowerOffsetUs != Long.MIN_VALUE && upperOffsetUs < lowerOffsetAt(at)) {
                lowerOffsetUs = Long.MIN_VALUE;
                clockSteps++;
            }
        }
    }

    /** Whether the origin's time has an upper bound that is of use. */
    boolean isKnown(long now) {
        return upperOffsetUs != Long.MAX_VALUE
                && (lowerOffsetUs == Long.MIN_VALUE || upperOffsetAt(now) - lowerOffsetAt(now) <= MAX_WIDTH_US);
    }

    /** The latest that the origin's clock may show; only where {@link #isKnown}. */
    long latest(long now) {
        return now + upperOffsetAt(now);
    }

    /** The earliest that it may show; the own clock's time where nothing is known. */
    long earliest(long now) {
        return lowerOffsetUs == Long.MIN_VALUE ? now : now + lowerOffsetAt(now);
    }

    /** The width of the interval, or -1 where it has no end. */
    long widthUs(long now) {
        return lowerOffsetUs == Long.MIN_VALUE || upperOffsetUs == Long.MAX_VALUE
                ? -1
                : upperOffsetAt(now) - lowerOffsetAt(now);
    }

    /** How often a clock was found to have been stepped: what was seen could not all be true. */
    long clockSteps() {
        return clockSteps;
    }

    private long upperOffsetAt(long time) {
        return upperOffsetUs + driftUs(time - upperMeasuredAt);
    }

    private long lowerOffsetAt(long time) {
        return lowerOffsetUs - driftUs(time - lowerMeasuredAt);
    }

    private static long driftUs(long elapsedUs) {
        return Math.abs(elapsedUs) * DRIFT_PPM / 1_000_000;
    }
}
