package magpiewheel.routing;

import java.util.stream.IntStream;

/**
 * Counts the ended and the answered requests of each class by transfer time, to tell whether the largest requests of a
 * class are answered less often than the rest. Older requests decay exponentially.
 */
final class AnswerRateBySize {
    /** Number of requests of a class after which all earlier ones count half. */
    private static final int HALF_LIFE_REQUESTS = 256;
    /** Share of a class's requests in the group of the largest, and in that group together with the next largest. */
    private static final double LARGEST_SHARE = 0.1;

    private static final double LARGE_SHARE = 0.3;

    private static final class Tally {
        final double[] ended = new double[LogBuckets.COUNT];
        final double[] answered = new double[LogBuckets.COUNT];
        int samples;
    }

    private static final BucketRange ALL = new BucketRange(0, LogBuckets.COUNT);

    private record BucketRange(int from, int to) {}

    private final Tally[] classes;

    /** Creates the counts of a number of request classes. */
    AnswerRateBySize(int classCount) {
        classes = IntStream.range(0, classCount).mapToObj(number -> new Tally()).toArray(Tally[]::new);
    }

    /** Counts a request of a class, with its transfer time, that ended. */
    void add(int requestClass, double transferUs, boolean answered) {
        Tally tally = classes[requestClass];
        int bucket = LogBuckets.bucketOf(transferUs);
        tally.ended[bucket]++;
        tally.answered[bucket] += answered ? 1 : 0;
        if (++tally.samples % HALF_LIFE_REQUESTS == 0) {
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
     * Whether a transfer time is among the largest tenth of its class or the fifth below it, and the answer rate of
     * that group is below that of the class, times the floor.
     */
    boolean isUnderserved(int requestClass, double transferUs, double floor) {
        Tally tally = classes[requestClass];
        BucketRange group = group(tally, LogBuckets.bucketOf(transferUs));
        if (group == null) {
            return false;
        }
        double endedInGroup = sum(tally.ended, group);
        double answeredInGroup = sum(tally.answered, group);
        return answeredInGroup * sum(tally.ended, ALL) < floor * sum(tally.answered, ALL) * endedInGroup;
    }

    /** Returns the buckets of the group that a bucket belongs to; null where it is in neither. */
    private static BucketRange group(Tally tally, int bucket) {
        double all = sum(tally.ended, ALL);
        int largestFrom = firstBucketOfLargest(tally, LARGEST_SHARE * all);
        int largeFrom = Math.min(largestFrom, firstBucketOfLargest(tally, LARGE_SHARE * all));
        if (bucket >= largestFrom) {
            return new BucketRange(largestFrom, LogBuckets.COUNT);
        }
        return bucket >= largeFrom ? new BucketRange(largeFrom, largestFrom) : null;
    }

    /** Returns the highest bucket such that it and those above hold at least a number of requests. */
    private static int firstBucketOfLargest(Tally tally, double count) {
        int bucket = LogBuckets.COUNT;
        for (double counted = 0; bucket > 0 && counted < count; ) {
            counted += tally.ended[--bucket];
        }
        return bucket;
    }

    private static double sum(double[] counts, BucketRange buckets) {
        double sum = 0;
        for (int bucket = buckets.from(); bucket < buckets.to(); bucket++) {
            sum += counts[bucket];
        }
        return sum;
    }
}
