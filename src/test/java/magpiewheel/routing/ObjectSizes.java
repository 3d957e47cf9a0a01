package magpiewheel.routing;

import java.util.SplittableRandom;

/** Random object sizes for simulations. */
final class ObjectSizes {
    /** Uniform draws per sample: the sum of twelve, less six, is close to a standard normal value. */
    private static final int DRAWS = 12;

    private ObjectSizes() {}

    /** Draws from a lognormal distribution with this mean; {@code sigma} is the deviation of the logarithm. */
    static double lognormal(SplittableRandom random, double mean, double sigma) {
        double normal = -DRAWS / 2.0;
        for (int i = 0; i < DRAWS; i++) {
            normal += random.nextDouble();
        }
        return mean * Math.exp(sigma * normal - sigma * sigma / 2);
    }
}
