package magpiewheel.routing;

/**
 * The demand of late: transfer time by its value density, the priority weight per transfer time. It answers how much of
 * the demand has a lower density than a request, in steps of a quarter of an octave; older demand fades by halves.
 */
final class DemandDistribution {
    /** Samples after which all earlier ones count half: some busy ten seconds of one router. */
    private static final int HALF_LIFE_SAMPLES = 256;

    private final double[] timeBy = new double[LogBuckets.STEPS];
    private double total;
    private int samples;

    /** A request of such a value density needs so much transfer time. */
    void add(double density, double time) {
        if (++samples % HALF_LIFE_SAMPLES == 0) {
            total = 0;
            for (int i = 0; i < LogBuckets.STEPS; i++) {
                timeBy[i] /= 2;
                total += timeBy[i];
            }
        }
        timeBy[LogBuckets.step(density)] += time;
        total += time;
    }

    /** The share of transfer time with a lower density, from 0 to 1; of the same density half counts as lower. */
    double below(double density) {
        if (total <= 0) {
            return 0;
        }
        int own = LogBuckets.step(density);
        double less = timeBy[own] / 2;
        for (int i = 0; i < own; i++) {
            less += timeBy[i];
        }
        return Math.min(1, less / total);
    }
}
