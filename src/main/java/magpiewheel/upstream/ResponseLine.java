package magpiewheel.upstream;

import java.io.IOException;
import java.util.List;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/**
 * The line that an answer begins with, checked word by word: {@code ID WORD FIELDS LENGTH}. Nodes' answers arrive
 * spoilt now and then, and what is not wholly in order must not be passed on as an answer.
 */
record ResponseLine(
        String id,
        AttemptResult result,
        boolean unchanged,
        CacheStatus note,
        long lagUs,
        String tag,
        long mintedMs,
        int length) {
    private static final int WORDS = 4;
    private static final int LARGEST_BODY = 240_000;
    private static final int LONGEST_ID = 64;
    private static final CacheStatus[] NOTES = CacheStatus.values();
    private static final List<String> NOTE_WORDS = List.of(
            "",
            "hit",
            "filled",
            "via_origin",
            "joined",
            "stale",
            "src_refused",
            "src_broke",
            "src_lacks",
            "no_slot",
            "origin_failed");

    /** What came is no answer that can be used. */
    static final class Garbage extends IOException {
        private static final long serialVersionUID = 1L;

        Garbage(String what) {
            super(what);
        }
    }

    /** Whether an answer with a copy names the copy: its tag and when the origin gave it out. */
    boolean namesItsCopy() {
        return tag != null;
    }

    static ResponseLine read(String line) throws Garbage {
        // Limit -1 keeps an empty last word: "ID DONE - " is an answer without its length, not one of 0 bytes.
        String[] words = line.split(" ", -1);
        if (words.length != WORDS || words[0].isEmpty() || words[0].length() > LONGEST_ID) {
            throw new Garbage("a line of " + words.length + " words");
        }
        AttemptResult result = switch (words[1]) {
            case "DONE", "KEEP" -> AttemptResult.OK;
            case "LACK" -> AttemptResult.MISS;
            case "WAIT" -> AttemptResult.REJECTED;
            case "BROKE" -> AttemptResult.ERROR;
            case "PAST" -> AttemptResult.EXPIRED;
            default -> throw new Garbage("an unknown word");
        };
        boolean unchanged = words[1].equals("KEEP");
        int length = (int) number(words[3], LARGEST_BODY);
        if (length > 0 && (unchanged || result != AttemptResult.OK)) {
            throw new Garbage("a body behind " + words[1]);
        }
        return fields(words[0], result, unchanged, words[2], length);
    }

    private static ResponseLine fields(String id, AttemptResult result, boolean unchanged, String fields, int length)
            throws Garbage {
        CacheStatus note = CacheStatus.UNKNOWN;
        long lag = 0;
        String tag = null;
        long minted = -1;
        for (String field : fields.equals("-") ? new String[0] : fields.split(",", -1)) {
            int equals = field.indexOf('=');
            String value = field.substring(equals + 1);
            if (equals <= 0 || !plain(value)) {
                throw new Garbage("a field that is none");
            }
            switch (field.substring(0, equals)) {
                case "tell" -> note = NOTES[Math.max(0, NOTE_WORDS.indexOf(value))];
                case "lag" -> lag = micros(value);
                case "tag" -> tag = value;
                case "minted" -> minted = number(value, Long.MAX_VALUE);
                default -> {}
            }
        }
        return new ResponseLine(id, result, unchanged, note, lag, minted < 0 ? null : tag, minted, length);
    }

    private static boolean plain(String value) {
        return !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '=');
    }

    private static long micros(String millis) throws Garbage {
        try {
            double value = Double.parseDouble(millis);
            if (value >= 0 && value <= Integer.MAX_VALUE) {
                return (long) (value * 1000);
            }
        } catch (NumberFormatException e) {
            // Named below.
        }
        throw new Garbage("the time " + millis);
    }

    /** Digits and nothing else: parsers of the library take signs, too. */
    private static long number(String text, long most) throws Garbage {
        try {
            if (!text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9') && Long.parseLong(text) <= most) {
                return Long.parseLong(text);
            }
        } catch (NumberFormatException e) {
            // Named below.
        }
        throw new Garbage("the number " + text);
    }
}
