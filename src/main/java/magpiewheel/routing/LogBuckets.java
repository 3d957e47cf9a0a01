package magpiewheel.routing;

/**
 * Logarithmic buckets for positive values: a quarter of an octave each, from 2^-32 to 2^32. Values beyond that range
 * are in the first or last bucket.
 */
final class LogBuckets {
    /** Number of buckets. */
    static final int COUNT = 256;

    private static final double BUCKETS_PER_OCTAVE = 4;

    private LogBuckets() {}

    /** Returns the index of the bucket of a value, from 0. */
    static int bucketOf(double value) {
        double octaves = Math.log(value) / Math.log(2);
        return (int) Math.max(0, Math.min(COUNT - 1, COUNT / 2 + Math.floor(BUCKETS_PER_OCTAVE * octaves)));
    }
}
