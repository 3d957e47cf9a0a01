package magpiewheel.routing;

/**
 * A moving average that expires when no sample was added for a while: old samples say little about the present state of
 * an endpoint.
 */
final class ExpiringMean {
    private final Ewma mean;
    private final long memoryUs;
    private long addedAt = Long.MIN_VALUE / 2;

    /**
     * Creates an average without samples.
     *
     * @param weight the weight of the newest sample
     * @param memoryUs how long after the last sample the average is kept
     */
    ExpiringMean(double weight, long memoryUs) {
        this.mean = new Ewma(weight);
        this.memoryUs = memoryUs;
    }

    void add(long now, double sample) {
        if (!isFresh(now)) {
            mean.forget();
        }
        mean.add(sample);
        addedAt = now;
    }

    boolean isFresh(long now) {
        return now - addedAt <= memoryUs;
    }

    /** Returns the average at a time, or the fallback if it has expired. */
    double or(long now, double fallback) {
        return isFresh(now) ? mean.or(fallback) : fallback;
    }
}
