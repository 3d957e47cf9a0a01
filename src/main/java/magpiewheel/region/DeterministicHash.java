package magpiewheel.region;

/** Hashes that look random, and are the same at every router. */
final class DeterministicHash {
    private static final double FRACTION_STEPS = 1L << 53;

    private DeterministicHash() {}

    /** Mixes a number's bits well (the finaliser of SplitMix64). */
    static long of(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    static long of(long one, long two) {
        return of(of(one) ^ two);
    }

    /** A fraction of a number, from 0 to below 1. */
    static double fraction(long value) {
        return (of(value) >>> 11) / FRACTION_STEPS;
    }
}
