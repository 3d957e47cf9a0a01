package magpiewheel.routing;

/** How likely an attempt becomes a fill, at a cache that is not known to hold the object. */
final class CacheMissEstimator {
    /** Share of misses that is assumed before any response was seen. */
    private static final double ASSUMED_RATIO = 0.4;
    /** The lowest estimate. */
    private static final double MIN_RATIO = 0.1;

    private final Ewma missRatio = new Ewma(Smoothing.LONG_TERM_WEIGHT);

    /** A response came to such an attempt. */
    void responded(boolean hit) {
        missRatio.add(hit ? 0 : 1);
    }

    /** The probability of a miss, from 0 to 1. */
    double missProbability() {
        return Math.max(MIN_RATIO, missRatio.or(ASSUMED_RATIO));
    }
}
