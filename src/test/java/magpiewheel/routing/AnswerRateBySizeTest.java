package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import magpiewheel.routing.OverloadedLocation.TrafficClass;
import org.junit.jupiter.api.Test;

/**
 * Requests are shed by priority weight per transfer time, so the largest requests of a class are shed first. Guards
 * against starving them: their answer rate is compared with that of their whole class.
 */
class AnswerRateBySizeTest {
    private static final int SEEDS = 4;
    private static final long DURATION_US = 40 * OverloadedLocation.SECOND;
    /** Demand as a multiple of the capacity of the caches. */
    private static final double MODERATE_LOAD = 0.6;

    private static final double OVERLOAD = 1.2;
    /** Minimum answer rate of the largest tenth, and of the fifth below it, relative to that of their class. */
    private static final double MIN_RELATIVE_RATE_AT_MODERATE_LOAD = 2 / 3.0;

    private static final double MIN_RELATIVE_RATE_IN_OVERLOAD = 0.5;

    /** Long clips and short pages. */
    private static final List<TrafficClass> CLIPS_AND_PAGES = List.of(
            new TrafficClass(0.55, 400_000, 500_000, 5_000_000, 2),
            new TrafficClass(0.45, 80_000, 400_000, 3_000_000, 1));

    /** Four classes of the same size distribution, each with twice the priority weight of the one before. */
    private static final List<TrafficClass> FOUR_PRIORITIES = List.of(
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 1),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 2),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 4),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 8));

    /** A single class. */
    private static final List<TrafficClass> SINGLE_CLASS = List.of(new TrafficClass(1, 250_000, 600_000, 4_000_000, 1));

    private static void assertLargestAreAnswered(double load, double minRelativeRate) {
        List<String> violations = new ArrayList<>();
        for (List<TrafficClass> kinds : List.of(CLIPS_AND_PAGES, FOUR_PRIORITIES, SINGLE_CLASS)) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                OverloadedLocation location = new OverloadedLocation(seed, kinds).run(DURATION_US, load);
                for (int kind = 0; kind < kinds.size(); kind++) {
                    double overallRate = location.answeredShare(kind, 0, 1);
                    double largeRate = location.answeredShare(kind, 0.7, 0.9);
                    double largestRate = location.answeredShare(kind, 0.9, 1);
                    System.out.printf(
                            "%d kinds, seed %d, kind %d: %.3f %.3f %.3f%n",
                            kinds.size(), seed, kind, overallRate, largeRate, largestRate);
                    if (Math.min(largeRate, largestRate) < minRelativeRate * overallRate) {
                        violations.add(String.format(
                                "seed %d, class %d of %d: answer rate %.2f, of the fifth below the largest tenth %.2f,"
                                        + " of the largest tenth %.2f",
                                seed, kind, kinds.size(), overallRate, largeRate, largestRate));
                    }
                }
            }
        }
        assertTrue(violations.isEmpty(), violations.toString());
    }

    @Test
    void largestRequestsAreAnsweredAtModerateLoad() {
        assertLargestAreAnswered(MODERATE_LOAD, MIN_RELATIVE_RATE_AT_MODERATE_LOAD);
    }

    @Test
    void largestRequestsAreAnsweredInOverload() {
        assertLargestAreAnswered(OVERLOAD, MIN_RELATIVE_RATE_IN_OVERLOAD);
    }
}
