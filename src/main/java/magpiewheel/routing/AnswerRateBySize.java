package magpiewheel.routing;

import java.util.stream.IntStream;

/**
 * How many of each class's requests ended and how many of them were answered, by transfer time: whether the largest of
 * a class are answered less often than the rest. It only counts; older requests fade by halves.
 */
final class AnswerRateBySize {
    /** Requests of a class after which all earlier ones count half. */
    private static final int HALF_LIFE_REQUESTS = 256;
    /** Share of a class's requests that are its largest, and those with the next largest. */
    private static final double LARGEST = 0.1;

    private static final double LARGE = 0.3;

    private static final class Tally {
        final double[] ended = new double[LogBuckets.STEPS];
        final double[] answered = new double[LogBuckets.STEPS];
        int counted;
    }

    private static final Steps ALL = new Steps(0, LogBuckets.STEPS);

    private record Steps(int from, int to) {}

    private final Tally[] classes;

    /** For so many classes. */
    AnswerRateBySize(int count) {
        classes = IntStream.range(0, count).mapToObj(number -> new Tally()).toArray(Tally[]::new);
    }

    /** A request of a class with such a transfer time ended. */
    void add(int profile, double sendingUs, boolean answered) {
        Tally tally = classes[profile];
        int step = LogBuckets.step(sendingUs);
        tally.ended[step]++;
        tally.answered[step] += answered ? 1 : 0;
        if (++tally.counted % HALF_LIFE_REQUESTS == 0) {
            halve(tally.ended);
            halve(tally.answered);
        }
    }

    private static void halve(double[] counts) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] /= 2;
        }
    }

    /**
     * Whether requests with such a transfer time are among the largest tenth of their class, or the fifth below it, and
     * that group's answered share is below that of the class, times the floor.
     */
    boolean fallsShort(int profile, double sendingUs, double floor) {
        Tally tally = classes[profile];
        Steps group = group(tally, LogBuckets.step(sendingUs));
        if (group == null) {
            return false;
        }
        double endedHere = sum(tally.ended, group);
        double answeredHere = sum(tally.answered, group);
        return answeredHere * sum(tally.ended, ALL) < floor * sum(tally.answered, ALL) * endedHere;
    }

    /** The steps of the group that a step belongs to, or null. */
    private static Steps group(Tally tally, int step) {
        double all = sum(tally.ended, ALL);
        int largestFrom = stepBelow(tally, LARGEST * all);
        int largeFrom = Math.min(largestFrom, stepBelow(tally, LARGE * all));
        if (step >= largestFrom) {
            return new Steps(largestFrom, LogBuckets.STEPS);
        }
        return step >= largeFrom ? new Steps(largeFrom, largestFrom) : null;
    }

    /** The highest step from which on so many requests are counted. */
    private static int stepBelow(Tally tally, double count) {
        int step = LogBuckets.STEPS;
        for (double above = 0; step > 0 && above < count; ) {
            above += tally.ended[--step];
        }
        return step;
    }

    private static double sum(double[] counts, Steps steps) {
        double sum = 0;
        for (int step = steps.from(); step < steps.to(); step++) {
            sum += counts[step];
        }
        return sum;
    }
}
