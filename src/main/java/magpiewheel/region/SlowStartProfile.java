package magpiewheel.region;

/**
 * How a parent bears load after its start, as the settings have it: from a part {@code initialShare} of its capacity it
 * warms up in {@code warmUpUs}; more than {@code overloadMultiple} of what it bears, within {@code overloadWindowUs},
 * makes it fall.
 */
public record SlowStartProfile(double initialShare, long warmUpUs, double overloadMultiple, long overloadWindowUs) {
    /** The same profile with another time within which too much work makes it fall. */
    public SlowStartProfile withOverloadWindow(long windowUs) {
        return new SlowStartProfile(initialShare, warmUpUs, overloadMultiple, windowUs);
    }

    /** The part of its capacity that it has so long after its start. */
    double capacityShare(long sinceUs) {
        double warmed = (double) Math.max(0, sinceUs) / Math.max(1, warmUpUs);
        return initialShare + (1 - initialShare) * Math.min(1, warmed);
    }

    /**
     * The work, for each transfer at once of its full capacity, that it bears within the time that makes it fall and
     * that ends so long after its start: all that time it is as at the beginning.
     */
    public double tolerableWork(long sinceUs) {
        return overloadMultiple * capacityShare(sinceUs - overloadWindowUs) * overloadWindowUs;
    }
}
