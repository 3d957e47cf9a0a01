package magpiewheel.region;

/**
 * The load that an endpoint tolerates after its start.
 *
 * @param initialShare the share of its capacity at the start
 * @param warmUpUs the time until it has its full capacity
 * @param overloadMultiple the multiple of its current capacity that overloads it
 * @param overloadWindowUs the time within which that much work overloads it
 */
public record SlowStartProfile(double initialShare, long warmUpUs, double overloadMultiple, long overloadWindowUs) {
    /** Returns this profile with another overload window. */
    public SlowStartProfile withOverloadWindow(long windowUs) {
        return new SlowStartProfile(initialShare, warmUpUs, overloadMultiple, windowUs);
    }

    /** Returns the share of its capacity that it has {@code sinceUs} after its start, from 0 to 1. */
    double capacityShare(long sinceUs) {
        double warmUpFraction = (double) Math.max(0, sinceUs) / Math.max(1, warmUpUs);
        return initialShare + (1 - initialShare) * Math.min(1, warmUpFraction);
    }

    /**
     * Returns the work per concurrent transfer of its full capacity that it tolerates within the overload window that
     * ends {@code sinceUs} after its start. The capacity at the beginning of the window counts for the whole window.
     */
    public double tolerableWork(long sinceUs) {
        return overloadMultiple * capacityShare(sinceUs - overloadWindowUs) * overloadWindowUs;
    }
}
