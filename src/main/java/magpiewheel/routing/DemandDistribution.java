package magpiewheel.routing;

/**
 * The recent demand: transfer time by value density, which is the priority weight per transfer time. Estimates the
 * share of the demand with a lower density than a request, in buckets of a quarter of an octave. Older demand decays
 * exponentially.
 */
final class DemandDistribution {
    /** Number of samples after which all earlier ones count half: about ten busy seconds of one router. */
    private static final int HALF_LIFE_SAMPLES = 256;

    private final double[] transferUsByBucket = new double[LogBuckets.COUNT];
    private double totalTransferUs;
    private int samples;

    /** Adds the transfer time of a request at its value density. */
    void add(double density, double transferUs) {
        if (++samples % HALF_LIFE_SAMPLES == 0) {
            totalTransferUs = 0;
            for (int i = 0; i < LogBuckets.COUNT; i++) {
                transferUsByBucket[i] /= 2;
                totalTransferUs += transferUsByBucket[i];
            }
        }
        transferUsByBucket[LogBuckets.bucketOf(density)] += transferUs;
        totalTransferUs += transferUs;
    }

    /**
     * Returns the share of transfer time at a lower density, from 0 to 1; half of that in the same bucket counts as
     * lower.
     */
    double shareBelow(double density) {
        if (totalTransferUs <= 0) {
            return 0;
        }
        int bucket = LogBuckets.bucketOf(density);
        double lowerUs = transferUsByBucket[bucket] / 2;
        for (int i = 0; i < bucket; i++) {
            lowerUs += transferUsByBucket[i];
        }
        return Math.min(1, lowerUs / totalTransferUs);
    }
}
