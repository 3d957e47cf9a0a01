package magpiewheel.routing;

/** A moving ratio of late responses; 0 when no response was late for a while. */
final class LateRatio {
    private final Ewma ratio;
    private final long memoryUs;
    private long lateAt = Long.MIN_VALUE / 2;

    /**
     * Creates a ratio without samples.
     *
     * @param weight the weight of the newest sample
     * @param memoryUs how long after the last late response the ratio is kept
     */
    LateRatio(double weight, long memoryUs) {
        this.ratio = new Ewma(weight);
        this.memoryUs = memoryUs;
    }

    void add(long now, boolean late) {
        ratio.add(late ? 1 : 0);
        lateAt = late ? now : lateAt;
    }

    /** Adds the ratio of a peer as one sample; a ratio above 0 counts as a late response now, 0 is ignored. */
    void reportedByPeer(long now, double lateRatio) {
        if (lateRatio > 0) {
            this.ratio.add(lateRatio);
            lateAt = now;
        }
    }

    /** Returns the ratio at a time; 0 before the first sample. */
    double at(long now) {
        return now - lateAt < memoryUs ? ratio.or(0) : 0;
    }
}
