package magpiewheel.fabric;

import java.util.Collection;
import java.util.List;

/** Means with their confidence, and quantiles. */
final class Figures {
    /** Student's t of 95%, two-sided, by degrees of freedom from 1; the last holds for more. */
    private static final double[] T = {
        12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10,
        2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04
    };

    private Figures() {}

    static double mean(Collection<Double> all) {
        return all.stream().mapToDouble(one -> one).average().orElse(Double.NaN);
    }

    /** Half the width of the interval in which the mean lies with 95%. */
    static double margin(Collection<Double> all) {
        double mean = mean(all);
        double sum =
                all.stream().mapToDouble(one -> (one - mean) * (one - mean)).sum();
        int freedom = all.size() - 1;
        return freedom < 1 ? Double.NaN : T[Math.min(freedom, T.length) - 1] * Math.sqrt(sum / freedom / all.size());
    }

    /** The mean, its margin and the range, in words. */
    static String told(List<Double> all, String digits) {
        return String.format(
                digits + " +- " + digits + " (" + digits + " to " + digits + ", " + all.size() + " rounds)",
                mean(all),
                margin(all),
                all.stream().mapToDouble(one -> one).min().orElse(Double.NaN),
                all.stream().mapToDouble(one -> one).max().orElse(Double.NaN));
    }

    /** What this share of all is no more than. */
    static double quantile(Collection<Double> all, double share) {
        double[] sorted = all.stream().mapToDouble(one -> one).sorted().toArray();
        return sorted.length == 0
                ? Double.NaN
                : sorted[Math.min(sorted.length - 1, (int) Math.ceil(share * sorted.length) - 1)];
    }
}
