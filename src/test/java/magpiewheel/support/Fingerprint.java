package magpiewheel.support;

/**
 * A 64-bit hash (FNV-1a) over everything that a seeded simulation sends and decides, in order. A test keeps its value
 * as a literal: two versions of the program with the same fingerprint acted alike, event for event.
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

    /** Adds a number to the last bit. */
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

    /** How many values were added, and their hash: {@code COUNT:HASH}. */
    @Override
    public String toString() {
        return String.format("%d:%016x", values, hash);
    }
}
