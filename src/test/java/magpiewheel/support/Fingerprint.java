package magpiewheel.support;

/**
 * A 64-bit FNV-1a hash over the messages and decisions of a seeded simulation, in order. Tests compare it with a
 * literal: two versions of the program with the same fingerprint behaved the same, event for event.
 */
public final class Fingerprint {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private long hash = OFFSET_BASIS;
    private long values;

    /** Adds a number. */
    public Fingerprint add(long value) {
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            addByte((int) (value >>> shift));
        }
        values++;
        return this;
    }

    /** Adds a number with all of its bits, so that rounding differences show. */
    public Fingerprint add(double value) {
        return add(Double.doubleToLongBits(value));
    }

    /** Adds a flag. */
    public Fingerprint add(boolean value) {
        return add(value ? 1L : 0L);
    }

    /** Adds a message and its length. */
    public Fingerprint add(byte[] message) {
        add((long) message.length);
        for (byte each : message) {
            addByte(each);
        }
        return this;
    }

    private void addByte(int value) {
        hash = (hash ^ value & 0xff) * PRIME;
    }

    /** Returns the number of added values and their hash, as {@code COUNT:HASH}; a message counts as one value. */
    @Override
    public String toString() {
        return String.format("%d:%016x", values, hash);
    }
}
