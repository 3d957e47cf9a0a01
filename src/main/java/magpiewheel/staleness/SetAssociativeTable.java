package magpiewheel.staleness;

/**
 * A bounded table of long values in plain arrays, set-associative with eight ways: in a full set the least recently
 * used entry is replaced. Callers hash their keys; keys that collide share an entry, which may give a wrong guess but
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

    /** Creates a table; {@code maxEntries} is a power of two, entries expire after {@code maxAgeUs} without use. */
    SetAssociativeTable(int maxEntries, long maxAgeUs) {
        keys = new long[maxEntries];
        first = new long[maxEntries];
        second = new long[maxEntries];
        third = new long[maxEntries];
        lastUsedAt = new long[maxEntries];
        this.maxAgeUs = maxAgeUs;
    }

    /** Returns the index of a key's entry, or -1 if there is none or it has expired. */
    int find(long now, long key) {
        int start = firstIndexOfSet(key);
        for (int i = start; i < start + WAYS; i++) {
            if (keys[i] == key && lastUsedAt[i] > now - maxAgeUs && lastUsedAt[i] != 0) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index for a new key: an empty entry of its set, else the least recently used one. */
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

    /** Sets an entry's first value to 0 and keeps the entry. */
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

    /** Hashes three values into a key. */
    static long keyOf(long one, long two, long three) {
        return hash(hash(hash(one) ^ two) ^ three);
    }

    /** Hashes a value with the finaliser of SplitMix64. */
    static long hash(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
