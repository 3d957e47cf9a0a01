package magpiewheel.routing;

/** Estimates the probability that an attempt becomes a fill at a cache that is not known to hold the object. */
final class CacheMissEstimator {
    /** Miss ratio assumed before the first response. */
    private static final double ASSUMED_RATIO = 0.4;
    /** Minimum estimate. */
    private static final double MIN_RATIO = 0.1;

    private final Ewma missRatio = new Ewma(Smoothing.LONG_TERM_WEIGHT);

    /** Records the response to such an attempt. */
    void responded(boolean hit) {
        missRatio.add(hit ? 0 : 1);
    }

    /** Returns the probability of a miss, from 0 to 1. */
    double missProbability() {
        return Math.max(MIN_RATIO, missRatio.or(ASSUMED_RATIO));
    }
}
