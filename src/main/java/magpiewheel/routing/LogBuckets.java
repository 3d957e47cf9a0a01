package magpiewheel.routing;

/**
 * Positive values in steps of a quarter of an octave, from 2^-32 to 2^32; what lies beyond is in the outermost step.
 */
final class LogBuckets {
    /** How many steps there are. */
    static final int COUNT = 256;

    private static final double BUCKETS_PER_OCTAVE = 4;

    private LogBuckets() {}

    /** The number of a value's step, from 0. */
    static int bucketOf(double value) {
        double octaves = Math.log(value) / Math.log(2);
        return (int) Math.max(0, Math.min(COUNT - 1, COUNT / 2 + Math.floor(BUCKETS_PER_OCTAVE * octaves)));
    }
}
