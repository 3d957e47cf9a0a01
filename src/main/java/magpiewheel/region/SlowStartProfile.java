package magpiewheel.region;

/**
 * The load that an endpoint tolerates after its start.
 *
 * @param initialShare the part of its capacity that it has at the start
 * @param warmUpUs how long it takes to its full capacity
 * @param overloadMultiple the multiple of its present capacity that overloads it
 * @param overloadWindowUs the time within which that much work overloads it
 */
public record SlowStartProfile(double initialShare, long warmUpUs, double overloadMultiple, long overloadWindowUs) {
    /** The same profile with another overload window. */
    public SlowStartProfile withOverloadWindow(long windowUs) {
        return new SlowStartProfile(initialShare, warmUpUs, overloadMultiple, windowUs);
    }

    /** The part of its capacity that it has so long after its start, from 0 to 1. */
    double capacityShare(long sinceUs) {
        double warmUpFraction = (double) Math.max(0, sinceUs) / Math.max(1, warmUpUs);
        return initialShare + (1 - initialShare) * Math.min(1, warmUpFraction);
    }

    /**
     * The work, for each concurrent transfer of its full capacity, that it tolerates within the window that ends so
     * long after its start; all that time it has the capacity of the beginning.
     */
    public double tolerableWork(long sinceUs) {
        return overloadMultiple * capacityShare(sinceUs - overloadWindowUs) * overloadWindowUs;
    }
}
