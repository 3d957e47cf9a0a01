package magpiewheel.region;

/** Hash functions with evenly spread results that are the same at every router. */
final class DeterministicHash {
    private static final double FRACTION_STEPS = 1L << 53;

    private DeterministicHash() {}

    /** Returns the number with its bits mixed (the finaliser of SplitMix64). */
    static long of(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    /** Returns the combined hash of two numbers; their order matters. */
    static long of(long first, long second) {
        return of(of(first) ^ second);
    }

    /** Returns a fraction that is derived from the number, from 0 (inclusive) to 1 (exclusive). */
    static double fraction(long value) {
        return (of(value) >>> 11) / FRACTION_STEPS;
    }
}
