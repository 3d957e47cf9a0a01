package magpiewheel.fabric;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A list of faults, each at its time, that a seed decides. The same seed gives the same list. */
final class Schedule {
    private static final int STEP_LEAST_MS = 100;
    private static final int STEP_MOST_MS = 500;
    private static final double MOST_LOSS = 0.5;
    private static final int MOST_DELAY_MS = 120;

    private interface Deed {
        void to(Fabric fabric) throws Exception;
    }

    /** One fault, so long after the start of the schedule. */
    private record Step(long atMs, String what, Deed deed) {
        @Override
        public String toString() {
            return atMs + " ms " + what;
        }
    }

    private final long seed;
    private final List<Step> steps = new ArrayList<>();

    /** Faults for a fabric of so many fronts; two of them at least are left alive at any time. */
    Schedule(long seed, int fronts, long lastsMs) {
        this.seed = seed;
        Random random = new Random(seed);
        Set<Integer> dead = new TreeSet<>();
        for (long at = 0; at < lastsMs; at += STEP_LEAST_MS + random.nextInt(STEP_MOST_MS - STEP_LEAST_MS)) {
            steps.add(step(at, random, fronts, dead));
        }
    }

    private static Step step(long at, Random random, int fronts, Set<Integer> dead) {
        int one = random.nextInt(fronts);
        int other = (one + 1 + random.nextInt(fronts - 1)) % fronts;
        double share = random.nextDouble();
        int ms = 1 + random.nextInt(MOST_DELAY_MS);
        switch (random.nextInt(9)) {
            case 0:
                return new Step(at, "cut " + one + " to " + other, fabric -> fabric.cutOneWay(one, other));
            case 1:
                return new Step(at, "cut between " + one + " and " + other, fabric -> fabric.cut(one, other));
            case 2:
                return new Step(
                        at, "lose a share from " + one, fabric -> fabric.lose(one, Fabric.ALL, share * MOST_LOSS));
            case 3:
                return new Step(at, "delay to " + one, fabric -> fabric.delay(Fabric.ALL, one, 0, ms));
            case 4:
                return new Step(at, "double and reorder from " + one, fabric -> {
                    fabric.twice(one, Fabric.ALL, share);
                    fabric.overtake(one, Fabric.ALL, share);
                });
            case 5:
                return new Step(
                        at, "pause " + one, dead.contains(one) ? Fabric::heal : fabric -> fabric.pause(one, ms));
            case 6: {
                Set<Integer> side =
                        new TreeSet<>(random.ints(fronts / 2, 0, fronts).boxed().toList());
                return new Step(at, "split off " + side, fabric -> fabric.split(side));
            }
            case 7: {
                if (dead.remove(one)) {
                    return new Step(at, "start " + one, fabric -> fabric.start(one));
                }
                if (dead.size() + 2 < fronts && dead.add(one)) {
                    return new Step(at, "kill " + one, fabric -> fabric.kill(one));
                }
                return new Step(at, "heal", Fabric::heal);
            }
            default:
                return new Step(at, "heal", Fabric::heal);
        }
    }

    /** Does one after another at its time, or as soon after it as the one before has ended. */
    void run(Fabric fabric) throws Exception {
        fabric.did(toString());
        long from = System.nanoTime();
        for (Step step : steps) {
            TimeUnit.NANOSECONDS.sleep(from + TimeUnit.MILLISECONDS.toNanos(step.atMs()) - System.nanoTime());
            step.deed().to(fabric);
        }
    }

    @Override
    public String toString() {
        return "schedule of seed " + seed + ": "
                + steps.stream().map(Step::toString).collect(Collectors.joining("; "));
    }
}
