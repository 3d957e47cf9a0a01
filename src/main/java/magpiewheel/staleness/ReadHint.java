package magpiewheel.staleness;

/**
 * What an application asks of one read; 0 or false for nothing.
 *
 * @param atMostUs the largest age of the copy
 * @param afterMs a mark: nothing older is acceptable, Unix milliseconds of the origin
 * @param session a session whose reads stick to a replica
 * @param strict whether a copy that violates this is rejected
 */
public record ReadHint(long atMostUs, long afterMs, long session, boolean strict) {
    /** Asks nothing. */
    public static final ReadHint NONE = new ReadHint(0, 0, 0, false);
    /** The longest text, the largest staleness in ms (a day) and the last mark (the end of the year 9999). */
    static final int MAX_LENGTH = 128;

    static final long MAX_STALENESS_MS = 86_400_000;
    static final long MAX_MARK_MS = 253_402_300_799_999L;

    /** Words joined by {@code +}, a value behind {@code :}, each word once: at_most, after, pin, strict, prefer. */
    public static ReadHint parse(String text) throws InvalidHintException {
        if (text.isEmpty()) {
            throw new InvalidHintException("The hint is empty.");
        }
        if (text.length() > MAX_LENGTH) {
            throw new InvalidHintException("The hint is longer than " + MAX_LENGTH + " characters.");
        }
        long atMost = 0;
        long after = 0;
        long session = 0;
        boolean strict = false;
        boolean prefer = false;
        for (String word : text.split("\\+", -1)) {
            int colon = word.indexOf(':');
            String name = colon < 0 ? word : word.substring(0, colon);
            String value = colon < 0 ? null : word.substring(colon + 1);
            switch (name) {
                case "at_most" -> atMost = parseMillis(name, value, atMost, MAX_STALENESS_MS);
                case "after" -> after = parseMillis(name, value, after, MAX_MARK_MS);
                case "pin" -> session = parseSession(value, session);
                case "strict" -> strict = parseFlag(name, value, strict);
                case "prefer" -> prefer = parseFlag(name, value, prefer);
                default ->
                    throw new InvalidHintException("The hint has a word that is not known: " + printable(name) + ".");
            }
        }
        if (strict && prefer) {
            throw new InvalidHintException("The hint asks for strict and prefer at once.");
        }
        if (strict && atMost == 0 && after == 0) {
            throw new InvalidHintException("The hint is strict but names neither at_most nor after.");
        }
        return new ReadHint(atMost * 1000, after, session, strict);
    }

    /** Whether the read has anything to hold a copy against. */
    public boolean isBounded() {
        return atMostUs > 0 || afterMs > 0;
    }

    private static long parseMillis(String name, String value, long previous, long max) throws InvalidHintException {
        requireFirst(name, previous != 0);
        if (value == null || !value.matches("[0-9]{1,15}")) {
            throw new InvalidHintException("The hint's " + name + " needs a whole number of ms behind a colon.");
        }
        long number = Long.parseLong(value);
        if (number < 1 || number > max) {
            throw new InvalidHintException("The hint's " + name + " is out of range: 1 to " + max + " ms.");
        }
        return number;
    }

    private static long parseSession(String value, long previous) throws InvalidHintException {
        requireFirst("pin", previous != 0);
        if (value == null || !value.matches("[0-9a-f]{16}")) {
            throw new InvalidHintException("The hint's pin needs a session of 16 hex digits behind a colon.");
        }
        long session = Long.parseUnsignedLong(value, 16);
        if (session == 0) {
            throw new InvalidHintException("The hint's pin is out of range: session 0 stands for none.");
        }
        return session;
    }

    private static boolean parseFlag(String name, String value, boolean previous) throws InvalidHintException {
        requireFirst(name, previous);
        if (value != null) {
            throw new InvalidHintException("The hint's " + name + " takes no value.");
        }
        return true;
    }

    private static void requireFirst(String name, boolean previous) throws InvalidHintException {
        if (previous) {
            throw new InvalidHintException("The hint has " + name + " twice.");
        }
    }

    /** What a client sent, fit for one line of an answer. */
    private static String printable(String name) {
        String replaced = name.replaceAll("[^a-zA-Z0-9_-]", "?");
        return replaced.isEmpty() ? "an empty one" : replaced.length() > 20 ? replaced.substring(0, 20) : replaced;
    }
}
