package magpiewheel.staleness;

/**
 * The offset of the origin's clock from the own, as an interval that contains it for certain. Each bound was measured
 * at a moment, and widens with the distance from it by {@link #DRIFT_PPM}.
 */
final class OriginClock {
    /** Both clocks may be slewed by 500 ppm, the most that kernels allow, and be wrong by 100 ppm besides. */
    static final long DRIFT_PPM = 1_200;
    /** Marks are whole ms, rounded down. */
    static final long MARK_STEP_US = 1_000;
    /** An upper bound this far above the lower one is as good as none. */
    static final long MAX_WIDTH_US = 2_000_000;

    private long lowerOffsetUs = Long.MIN_VALUE;
    private long lowerMeasuredAt;
    private long upperOffsetUs = Long.MAX_VALUE;
    private long upperMeasuredAt;
    private long clockSteps;

    /** A copy minted at a time of the origin's was here at a time of the own clock. */
    void raiseLowerBound(long now, long originUs) {
        long seen = originUs - now;
        if (lowerOffsetUs == Long.MIN_VALUE || seen > lowerOffsetAt(now)) {
            lowerOffsetUs = seen;
            lowerMeasuredAt = now;
            if (upperOffsetUs != Long.MAX_VALUE && lowerOffsetUs > upperOffsetAt(now)) {
                upperOffsetUs = Long.MAX_VALUE;
                clockSteps++;
            }
        }
    }

    /** The origin's clock had not passed a time when the own one showed another. */
    void lowerUpperBound(long then, long originUs) {
        long seen = originUs - then;
        if (upperOffsetUs == Long.MAX_VALUE || seen < upperOffsetAt(then)) {
            upperOffsetUs = seen;
            upperMeasuredAt = then;
            if (lowerOffsetUs != Long.MIN_VALUE && upperOffsetUs < lowerOffsetAt(then)) {
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
        return upperOffsetUs + drift(time - upperMeasuredAt);
    }

    private long lowerOffsetAt(long time) {
        return lowerOffsetUs - drift(time - lowerMeasuredAt);
    }

    private static long drift(long us) {
        return Math.abs(us) * DRIFT_PPM / 1_000_000;
    }
}
