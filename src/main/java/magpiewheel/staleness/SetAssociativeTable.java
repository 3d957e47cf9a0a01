package magpiewheel.staleness;

/**
 * A bounded table of numbers in plain arrays, set-associative with eight ways: in a full set the least recently used
 * entry is replaced. Keys are hashed by the caller; two that collide share an entry, which costs a wrong guess and
 * never a wrong proof.
 */
final class SetAssociativeTable {
    private static final int WAYS = 8;
    private final long[] keys;
    private final long[] first;
    private final long[] second;
    private final long[] third;
    private final long[] lastUsedAt;
    private final long maxAgeUs;

    /** Room for a power of two of entries, which are forgotten once unused for an age. */
    SetAssociativeTable(int maxEntries, long ageUs) {
        keys = new long[maxEntries];
        first = new long[maxEntries];
        second = new long[maxEntries];
        third = new long[maxEntries];
        lastUsedAt = new long[maxEntries];
        this.maxAgeUs = ageUs;
    }

    /** The entry of a key, or -1. */
    int find(long now, long key) {
        int at = setOf(key);
        for (int i = at; i < at + WAYS; i++) {
            if (keys[i] == key && lastUsedAt[i] > now - maxAgeUs && lastUsedAt[i] != 0) {
                return i;
            }
        }
        return -1;
    }

    /** The entry to put a new key at: empty, or aged, or unused for longest; see {@link #value} for what it held. */
    int slotFor(long now, long key) {
        int at = setOf(key);
        int oldest = at;
        for (int i = at; i < at + WAYS; i++) {
            if (lastUsedAt[i] < lastUsedAt[oldest]) {
                oldest = i;
            }
        }
        return oldest;
    }

    void put(long now, int at, long key, long one, long two, long three) {
        keys[at] = key;
        first[at] = one;
        second[at] = two;
        third[at] = three;
        lastUsedAt[at] = Math.max(1, now);
    }

    void touch(long now, int at) {
        lastUsedAt[at] = Math.max(1, now);
    }

    void clear(int at) {
        lastUsedAt[at] = 0;
        first[at] = 0;
        second[at] = 0;
    }

    /** An entry's first value is 0 from now on. */
    void free(int at) {
        first[at] = 0;
    }

    boolean isUsed(int at) {
        return lastUsedAt[at] != 0;
    }

    long keyOf(int at) {
        return keys[at];
    }

    long value(int at) {
        return first[at];
    }

    long other(int at) {
        return second[at];
    }

    long last(int at) {
        return third[at];
    }

    int size() {
        return keys.length;
    }

    private int setOf(long key) {
        return (int) (key >>> 3) * WAYS & keys.length - 1;
    }

    /** Mixes numbers into a key that is never 0 (the finaliser of SplitMix64). */
    static long keyOf(long one, long two, long three) {
        return hash(hash(hash(one) ^ two) ^ three);
    }

    static long hash(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
