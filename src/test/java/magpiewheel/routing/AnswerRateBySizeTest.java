package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import magpiewheel.routing.OverloadedLocation.TrafficClass;
import org.junit.jupiter.api.Test;

/**
 * Requests are shed by the worth for their own sending time, which puts the largest of a class last. They are answered
 * all the same: their share is held against that of their whole class.
 */
class AnswerRateBySizeTest {
    private static final int SEEDS = 4;
    private static final long END = 40 * OverloadedLocation.SECOND;
    /** Of what the caches carry. */
    private static final double CALM = 0.6;

    private static final double CROWDED = 1.2;
    /** Share of their class's that the largest tenth, and the fifth below it, are owed. */
    private static final double OWED_CALM = 2 / 3.0;

    private static final double OWED_CROWDED = 0.5;

    /** Long clips and short pages. */
    private static final List<TrafficClass> CLIPS = List.of(
            new TrafficClass(0.55, 400_000, 500_000, 5_000_000, 2),
            new TrafficClass(0.45, 80_000, 400_000, 3_000_000, 1));

    /** Four classes alike in size, each worth twice the one before. */
    private static final List<TrafficClass> STEPS = List.of(
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 1),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 2),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 4),
            new TrafficClass(0.25, 150_000, 400_000, 2_500_000, 8));

    /** One class alone. */
    private static final List<TrafficClass> ALONE = List.of(new TrafficClass(1, 250_000, 600_000, 4_000_000, 1));

    private static void holds(double load, double owed) {
        List<String> fallsShort = new ArrayList<>();
        for (List<TrafficClass> kinds : List.of(CLIPS, STEPS, ALONE)) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                OverloadedLocation location = new OverloadedLocation(seed, kinds).run(END, load);
                for (int kind = 0; kind < kinds.size(); kind++) {
                    double all = location.answeredShare(kind, 0, 1);
                    double fifth = location.answeredShare(kind, 0.7, 0.9);
                    double tenth = location.answeredShare(kind, 0.9, 1);
                    System.out.printf(
                            "%d kinds, seed %d, kind %d: %.3f %.3f %.3f%n",
                            kinds.size(), seed, kind, all, fifth, tenth);
                    if (Math.min(fifth, tenth) < owed * all) {
                        fallsShort.add(String.format(
                                "seed %d, class %d of %d: all %.2f, fifth %.2f, tenth %.2f",
                                seed, kind, kinds.size(), all, fifth, tenth));
                    }
                }
            }
        }
        assertTrue(fallsShort.isEmpty(), fallsShort.toString());
    }

    @Test
    void theLargestAreAnsweredOnACalmDay() {
        holds(CALM, OWED_CALM);
    }

    @Test
    void theLargestAreAnsweredInACrowd() {
        holds(CROWDED, OWED_CROWDED);
    }
}
