package magpiewheel.region;

/** Hashes that look random, and are the same at every router. */
final class DeterministicHash {
    private static final double FRACTION_STEPS = 1L << 53;

    private DeterministicHash() {}

    /** Mixes a number's bits well (the finaliser of SplitMix64). */
    static long of(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    static long of(long first, long second) {
        return of(of(first) ^ second);
    }

    /** A fraction of a number, from 0 to below 1. */
    static double fraction(long value) {
        return (of(value) >>> 11) / FRACTION_STEPS;
    }
}
