package magpiewheel.routing;

/**
 * The demand of late: transfer time by its value density, the priority weight per transfer time. It answers how much of
 * the demand has a lower density than a request, in steps of a quarter of an octave; older demand fades by halves.
 */
final class DemandDistribution {
    /** Samples after which all earlier ones count half: some busy ten seconds of one router. */
    private static final int HALF_LIFE_SAMPLES = 256;

    private final double[] transferUsByBucket = new double[LogBuckets.COUNT];
    private double totalTransferUs;
    private int samples;

    /** A request of such a value density needs so much transfer time. */
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

    /** The share of transfer time with a lower density, from 0 to 1; of the same density half counts as lower. */
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
