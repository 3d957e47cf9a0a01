package magpiewheel.region;

import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Computes the figures of docs/measurements/regions.md: {@code java -ea -cp ... magpiewheel.region.RegionFigures}. Not
 * a test.
 */
public final class RegionFigures {
    private static final long SECOND_US = 1_000_000;
    private static final double Z95 = 1.96;

    private RegionFigures() {}

    /** Runs all measurements and prints them; fails with an error at the first violated invariant. */
    public static void main(String[] args) {
        int schedules = args.length > 0 ? Integer.parseInt(args[0]) : 1_000;
        double[][] schedulesRun = LongStream.rangeClosed(1, schedules)
                .parallel()
                .mapToObj(seed -> ElectionTest.runSchedule(seed, 3 + (int) (seed % 7), 12 * SECOND_US))
                .toArray(double[][]::new);
        System.out.printf(
                "%d schedules of 12 s: never two; leaders %.0f, led %.3f of the moments%n",
                schedules,
                Arrays.stream(schedulesRun).mapToDouble(p -> p[0]).sum(),
                Arrays.stream(schedulesRun).mapToDouble(p -> p[1]).average().orElse(0));
        printReplacementTimes("hung leader", 200, false);
        printReplacementTimes("hung leader, a front dies with it", 200, true);
        double[][] handovers = LongStream.rangeClosed(1, 100)
                .parallel()
                .mapToObj(RegionCoordinatorTest::handover)
                .toArray(double[][]::new);
        System.out.printf(
                "hand-over, 100 seeds: most of what a cold parent bears %.3f, falls %.0f, draining named %.0f, "
                        + "led %.3f%n",
                max(handovers, 0), sum(handovers, 1), sum(handovers, 2), sum(handovers, 3) / 100);
        for (SimulatedRegions.SourcePolicy policy : SimulatedRegions.SourcePolicy.values()) {
            print(
                    "origin fetches a part, " + policy,
                    LongStream.rangeClosed(1, 40)
                            .parallel()
                            .mapToDouble(seed -> RegionCoordinatorTest.originFetches(seed, policy))
                            .toArray());
        }
        for (SimulatedRegions.SourcePolicy policy : SimulatedRegions.SourcePolicy.values()) {
            double[][] service = LongStream.rangeClosed(1, 40)
                    .parallel()
                    .mapToObj(seed -> serviceDuringHang(seed, policy))
                    .toArray(double[][]::new);
            print("served within 200 ms in the 6 s of a hang, " + policy, column(service, 0));
            print("p99 ms in those 6 s, " + policy, column(service, 1));
            print("served within 200 ms in the 6 s before, " + policy, column(service, 2));
        }
        double[][] split = LongStream.rangeClosed(1, 40)
                .parallel()
                .mapToObj(RegionCoordinatorTest::splitRegion)
                .toArray(double[][]::new);
        System.out.printf(
                "a region splits, 40 seeds: most of a link in a second %.3f, mean %.3f%n",
                max(split, 3), sum(split, 3) / 40);
        System.out.println("moves (load grows, parent goes, branch comes; cuts: comes, grows; needed: grows) "
                + Arrays.toString(RegionAssignmentTest.meanMigrations(1_000)));
        SimulatedRegions idle = new SimulatedRegions(3, SimulatedRegions.SourcePolicy.LED, 0.05, 4, 1_000);
        idle.net.runUntil(5 * SECOND_US, () -> {});
        long before = idle.net.sentMessages;
        idle.net.runUntil(25 * SECOND_US, () -> {});
        System.out.printf(
                "messages a second a front in a region of 8: %.1f%n", (idle.net.sentMessages - before) / 20.0 / 8);
    }

    private static void printReplacementTimes(String label, int seeds, boolean killRouter) {
        long[] took = LongStream.rangeClosed(1, seeds)
                .parallel()
                .map(seed -> RegionCoordinatorTest.replacementUs(seed, killRouter))
                .sorted()
                .toArray();
        System.out.printf(
                "%s, %d seeds: replaced after ms p50 %d, p90 %d, p99 %d, most %d%n",
                label,
                seeds,
                took[seeds / 2] / 1_000,
                took[seeds * 9 / 10] / 1_000,
                took[seeds * 99 / 100] / 1_000,
                took[seeds - 1] / 1_000);
    }

    /**
     * Returns the service of fills requested from 10 s to 16 s, while one of four parents hangs without discovery
     * noticing; the same seeds are used for each policy.
     */
    private static double[] serviceDuringHang(long seed, SimulatedRegions.SourcePolicy policy) {
        SimulatedRegions probe = new SimulatedRegions(seed, SimulatedRegions.SourcePolicy.LED, 0.05, 4, 1_000);
        probe.requestInAllZones(2 * SECOND_US, 10 * SECOND_US, 20_000, 40_000, 1);
        probe.net.runUntil(10 * SECOND_US, () -> {});
        long hungParent = probe.leader() == 0 ? 1 : probe.leader();
        SimulatedRegions world = new SimulatedRegions(seed, policy, 0.05, 4, 1_000);
        world.requestInAllZones(2 * SECOND_US, 16 * SECOND_US, 20_000, 40_000, 1);
        world.net.at(10 * SECOND_US, () -> world.parents.get(hungParent).hangs = true);
        world.net.runUntil(20 * SECOND_US, () -> {});
        long[] durationsDuringHang = world.fillDurations.stream()
                .filter(t -> t[0] >= 10 * SECOND_US)
                .mapToLong(t -> t[1])
                .sorted()
                .toArray();
        long[] durationsBefore = world.fillDurations.stream()
                .filter(t -> t[0] >= 4 * SECOND_US && t[0] < 10 * SECOND_US)
                .mapToLong(t -> t[1])
                .toArray();
        return new double[] {
            shareWithinTarget(durationsDuringHang),
            durationsDuringHang[durationsDuringHang.length * 99 / 100] / 1e3,
            shareWithinTarget(durationsBefore)
        };
    }

    private static double shareWithinTarget(long[] durations) {
        return Arrays.stream(durations).filter(t -> t <= 200_000).count() / (double) durations.length;
    }

    private static double[] column(double[][] all, int at) {
        return Arrays.stream(all).mapToDouble(a -> a[at]).toArray();
    }

    private static double max(double[][] all, int at) {
        return Arrays.stream(column(all, at)).max().orElse(0);
    }

    private static double sum(double[][] all, int at) {
        return Arrays.stream(column(all, at)).sum();
    }

    private static void print(String label, double[] figures) {
        double mean = Arrays.stream(figures).average().orElse(0);
        double standardError = Math.sqrt(IntStream.range(0, figures.length)
                        .mapToDouble(i -> Math.pow(figures[i] - mean, 2))
                        .sum()
                / (figures.length - 1)
                / figures.length);
        System.out.printf(
                "%s: %.4f +- %.4f (95%%), worst %.4f to %.4f%n",
                label,
                mean,
                Z95 * standardError,
                Arrays.stream(figures).min().orElse(0),
                Arrays.stream(figures).max().orElse(0));
    }
}
