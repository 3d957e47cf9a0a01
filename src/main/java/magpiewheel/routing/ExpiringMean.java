package magpiewheel.routing;

/** A moving average that is forgotten when nothing was added for a while: what a node was like long ago says little. */
final class ExpiringMean {
    private final Ewma mean;
    private final long spanUs;
    private long addedAt = Long.MIN_VALUE / 2;

    /** An average of this weight that stands for so long after the last sample. */
    ExpiringMean(double weight, long spanUs) {
        this.mean = new Ewma(weight);
        this.spanUs = spanUs;
    }

    void add(long now, double sample) {
        if (!isFresh(now)) {
            mean.forget();
        }
        mean.add(sample);
        addedAt = now;
    }

    boolean isFresh(long now) {
        return now - addedAt <= spanUs;
    }

    /** The average at a time, or the given value where nothing was heard lately. */
    double or(long now, double unheard) {
        return isFresh(now) ? mean.or(unheard) : unheard;
    }
}
