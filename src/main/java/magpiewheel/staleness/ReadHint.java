package magpiewheel.staleness;

/**
 * An application's consistency requirements for one read; 0 or false where the hint has no such word.
 *
 * @param atMostUs the maximum age of the copy, us
 * @param afterMs a mark: the minimum origin time of the copy, Unix milliseconds of the origin's clock
 * @param session the session whose reads stick to a replica
 * @param strict whether the read fails rather than deliver a copy that violates the bound
 */
public record ReadHint(long atMostUs, long afterMs, long session, boolean strict) {
    /** No requirements. */
    public static final ReadHint NONE = new ReadHint(0, 0, 0, false);
    /** Maximum length of a hint in characters. */
    static final int MAX_LENGTH = 128;
    /** Maximum staleness: one day. */
    static final long MAX_STALENESS_MS = 86_400_000;
    /** Maximum mark: the end of the year 9999. */
    static final long MAX_MARK_MS = 253_402_300_799_999L;

    /**
     * Parses a hint: words joined by {@code +}, values after {@code :}, each word at most once. The words are at_most,
     * after, pin, strict and prefer.
     *
     * @throws InvalidHintException with a sentence for the client if the hint is malformed
     */
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

    /** Whether the hint limits which copies are acceptable. */
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

    /** Returns an unknown word of the client in a form that is safe in a one-line reply. */
    private static String printable(String name) {
        String replaced = name.replaceAll("[^a-zA-Z0-9_-]", "?");
        return replaced.isEmpty() ? "an empty one" : replaced.length() > 20 ? replaced.substring(0, 20) : replaced;
    }
}
