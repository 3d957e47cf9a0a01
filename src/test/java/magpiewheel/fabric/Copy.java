package magpiewheel.fabric;

/** A copy of a part: its tag, and the Unix millisecond at which the origin gave it out. */
record Copy(String tag, long mintedMs) {
    /** A copy that a source gave; the origin may have been asked for it. */
    record Given(Copy copy, boolean byOrigin) {}

    /** A source gave nothing: the word of the answer, and what it tells. */
    static final class Withheld extends Exception {
        private static final long serialVersionUID = 1L;
        final String word;
        final String tells;

        Withheld(String word, String tells) {
            super(word + " " + tells);
            this.word = word;
            this.tells = tells;
        }

        static Withheld broke() {
            return new Withheld("BROKE", "src_broke");
        }
    }
}
