package magpiewheel.routing;

/** The ratio of late responses among the last ones; 0 once none was late for a while. */
final class LateRatio {
    private final Ewma ratio;
    private final long memoryUs;
    private long lateAt = Long.MIN_VALUE / 2;

    /** A ratio of this weight, remembered for so long after the last late response. */
    LateRatio(double weight, long memoryUs) {
        this.ratio = new Ewma(weight);
        this.memoryUs = memoryUs;
    }

    void add(long now, boolean late) {
        ratio.add(late ? 1 : 0);
        lateAt = late ? now : lateAt;
    }

    /** A ratio that another router measured: it counts as one sample, and as late now if it is above 0. */
    void reportedByPeer(long now, double lateRatio) {
        if (lateRatio > 0) {
            this.ratio.add(lateRatio);
            lateAt = now;
        }
    }

    /** The ratio at a time; 0 before the first sample. */
    double at(long now) {
        return now - lateAt < memoryUs ? ratio.or(0) : 0;
    }
}
