package magpiewheel.routing;

/**
 * The share of late answers among the last, as long as one was late a short while ago: after that none counts as late.
 */
final class LateRatio {
    private final Ewma share;
    private final long spanUs;
    private long lateAt = Long.MIN_VALUE / 2;

    /** An average of this weight, that stands for so long after the last late answer. */
    LateRatio(double weight, long spanUs) {
        this.share = new Ewma(weight);
        this.spanUs = spanUs;
    }

    void add(long now, boolean late) {
        share.add(late ? 1 : 0);
        lateAt = late ? now : lateAt;
    }

    /** A share that another director saw: one sample for all, and late as of now if it is above 0. */
    void reportedByPeer(long now, double share) {
        if (share > 0) {
            this.share.add(share);
            lateAt = now;
        }
    }

    /** The share at a time; 0 before anything was heard. */
    double at(long now) {
        return now - lateAt < spanUs ? share.or(0) : 0;
    }
}
