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
    SetAssociativeTable(int maxEntries, long maxAgeUs) {
        keys = new long[maxEntries];
        first = new long[maxEntries];
        second = new long[maxEntries];
        third = new long[maxEntries];
        lastUsedAt = new long[maxEntries];
        this.maxAgeUs = maxAgeUs;
    }

    /** The entry of a key, or -1. */
    int find(long now, long key) {
        int start = firstIndexOfSet(key);
        for (int i = start; i < start + WAYS; i++) {
            if (keys[i] == key && lastUsedAt[i] > now - maxAgeUs && lastUsedAt[i] != 0) {
                return i;
            }
        }
        return -1;
    }

    /** The entry to put a new key at: empty, or aged, or unused for longest; see {@link #value} for what it held. */
    int slotFor(long now, long key) {
        int start = firstIndexOfSet(key);
        int oldest = start;
        for (int i = start; i < start + WAYS; i++) {
            if (lastUsedAt[i] < lastUsedAt[oldest]) {
                oldest = i;
            }
        }
        return oldest;
    }

    void put(long now, int index, long key, long one, long two, long three) {
        keys[index] = key;
        first[index] = one;
        second[index] = two;
        third[index] = three;
        lastUsedAt[index] = Math.max(1, now);
    }

    void touch(long now, int index) {
        lastUsedAt[index] = Math.max(1, now);
    }

    void clear(int index) {
        lastUsedAt[index] = 0;
        first[index] = 0;
        second[index] = 0;
    }

    /** An entry's first value is 0 from now on. */
    void clearFirst(int index) {
        first[index] = 0;
    }

    boolean isUsed(int index) {
        return lastUsedAt[index] != 0;
    }

    long keyOf(int index) {
        return keys[index];
    }

    long first(int index) {
        return first[index];
    }

    long second(int index) {
        return second[index];
    }

    long third(int index) {
        return third[index];
    }

    int size() {
        return keys.length;
    }

    private int firstIndexOfSet(long key) {
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
