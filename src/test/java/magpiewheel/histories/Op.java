package magpiewheel.histories;

/** What a session asked for and what it got; times by the origin's clock. */
record Op(Asked asked, Answered answered) {
    /**
     * A read or a write; {@code atMs} is when the client began to write it, {@code held} the tag of the copy it has.
     */
    record Asked(
            int session, boolean write, int front, String trace, long object, Hinted hint, String held, long atMs) {}

    /** A number that an answer does not tell. */
    static final long UNTOLD = Long.MIN_VALUE;
    /** An age that, as the answer says, nothing bounds. */
    static final long UNBOUNDED = -1;

    /** The answer; the word is empty where the connection ended instead. */
    record Answered(
            long atMs, String word, boolean unchanged, String tag, long mark, long aged, long pauseMs, Copy copy) {
        boolean tellsAge() {
            return aged != UNTOLD;
        }

        boolean served() {
            return word.equals("OK");
        }

        boolean refused() {
            return word.equals("BUSY");
        }
    }

    /**
     * A hint as the session worded it; -1 or null: not asked. What is wrong on purpose must be answered with an error.
     */
    record Hinted(long atMostMs, long afterMs, String pin, boolean strict, String wrong) {
        static final Hinted NONE = new Hinted(-1, -1, null, false, null);

        static Hinted atMost(long ms, boolean strict) {
            return new Hinted(ms, -1, null, strict, null);
        }

        static Hinted after(long mark, boolean strict) {
            return new Hinted(-1, mark, null, strict, null);
        }

        static Hinted wrong(String text) {
            return new Hinted(-1, -1, null, false, text);
        }

        Hinted pinned(String session) {
            return new Hinted(atMostMs, afterMs, session, strict, wrong);
        }

        boolean asks() {
            return !text().isEmpty();
        }

        String text() {
            if (wrong != null) {
                return wrong;
            }
            StringBuilder all = new StringBuilder();
            add(all, atMostMs >= 0, "at_most:" + atMostMs);
            add(all, afterMs >= 0, "after:" + afterMs);
            add(all, pin != null, "pin:" + pin);
            add(all, strict && (atMostMs >= 0 || afterMs >= 0), "strict");
            return all.toString();
        }

        private static void add(StringBuilder all, boolean given, String word) {
            if (given) {
                all.append(all.isEmpty() ? "" : "+").append(word);
            }
        }
    }
}
