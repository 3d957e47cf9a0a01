package magpiewheel.routing;

/** A moving average that is forgotten when no sample was added for a while: old samples say little of an endpoint. */
final class ExpiringMean {
    private final Ewma mean;
    private final long memoryUs;
    private long addedAt = Long.MIN_VALUE / 2;

    /** An average of this weight, remembered for so long after the last sample. */
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

    /** The average at a time, or the fallback where no sample is fresh. */
    double or(long now, double fallback) {
        return isFresh(now) ? mean.or(fallback) : fallback;
    }
}
