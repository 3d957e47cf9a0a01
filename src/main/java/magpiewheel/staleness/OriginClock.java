package magpiewheel.staleness;

/**
 * The offset of the origin's clock from this router's clock, as an interval that is certain to contain it. Each bound
 * widens by {@link #DRIFT_PPM} with the time since it was measured.
 */
final class OriginClock {
    /** Each of the two clocks may be slewed by 500 ppm, the kernel's maximum, and be off by another 100 ppm. */
    static final long DRIFT_PPM = 1_200;
    /** Origin times are whole ms, rounded down. */
    static final long ORIGIN_TIME_RESOLUTION_US = 1_000;
    /** A wider interval is of no use: the upper bound counts as unknown. */
    static final long MAX_WIDTH_US = 2_000_000;

    private long lowerOffsetUs = Long.MIN_VALUE;
    private long lowerMeasuredAt;
    private long upperOffsetUs = Long.MAX_VALUE;
    private long upperMeasuredAt;
    private long clockSteps;

    /**
     * Raises the lower bound: a copy with origin time {@code originTimeUs} was here at {@code now}. Discards an upper
     * bound that contradicts it, since a clock must have been stepped.
     */
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

    /**
     * Lowers the upper bound: the origin's clock had not passed {@code originTimeUs} when this router's clock showed
     * {@code at}. Discards a lower bound that contradicts it, since a clock must have been stepped.
     */
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

    /** Whether the origin's time has an upper bound, within {@link #MAX_WIDTH_US} of any lower bound. */
    boolean isKnown(long now) {
        return upperOffsetUs != Long.MAX_VALUE
                && (lowerOffsetUs == Long.MIN_VALUE || upperOffsetAt(now) - lowerOffsetAt(now) <= MAX_WIDTH_US);
    }

    /** Returns the latest time that the origin's clock may show; valid only if {@link #isKnown}. */
    long latest(long now) {
        return now + upperOffsetAt(now);
    }

    /** Returns the earliest time that the origin's clock may show; {@code now} if there is no lower bound. */
    long earliest(long now) {
        return lowerOffsetUs == Long.MIN_VALUE ? now : now + lowerOffsetAt(now);
    }

    /** Returns the width of the interval in us, or -1 if a bound is missing. */
    long widthUs(long now) {
        return lowerOffsetUs == Long.MIN_VALUE || upperOffsetUs == Long.MAX_VALUE
                ? -1
                : upperOffsetAt(now) - lowerOffsetAt(now);
    }

    /** Returns how often two bounds contradicted each other, which shows that a clock was stepped. */
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
