package magpiewheel.upstream;

import java.io.IOException;
import java.util.List;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;

/**
 * The status line of a response, {@code ID WORD FIELDS LENGTH}, parsed and validated. Responses of endpoints are
 * occasionally corrupted; a line that is not entirely valid must not be passed on as a response.
 */
record ResponseLine(
        String id,
        AttemptResult result,
        boolean unchanged,
        CacheStatus cacheStatus,
        long firstByteUs,
        String tag,
        long originTimeMs,
        int length) {
    private static final int WORD_COUNT = 4;
    private static final int MAX_BODY_BYTES = 240_000;
    private static final int MAX_ID_LENGTH = 64;
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();
    private static final List<String> CACHE_STATUS_NAMES = List.of(
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

    /** Thrown when a response cannot be parsed or breaks the protocol. */
    static final class MalformedResponseException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedResponseException(String message) {
            super(message);
        }
    }

    /** Whether the response identifies its copy by both tag and origin time. */
    boolean identifiesCopy() {
        return tag != null;
    }

    static ResponseLine parse(String line) throws MalformedResponseException {
        // Limit -1 keeps an empty last word: "ID DONE - " lacks its length and is not a response of 0 bytes.
        String[] words = line.split(" ", -1);
        if (words.length != WORD_COUNT || words[0].isEmpty() || words[0].length() > MAX_ID_LENGTH) {
            throw new MalformedResponseException("malformed response line: got " + words.length + " words, expected "
                    + WORD_COUNT + " with an id of 1 to " + MAX_ID_LENGTH + " characters");
        }
        AttemptResult result = switch (words[1]) {
            case "DONE", "KEEP" -> AttemptResult.OK;
            case "LACK" -> AttemptResult.MISS;
            case "WAIT" -> AttemptResult.REJECTED;
            case "BROKE" -> AttemptResult.ERROR;
            case "PAST" -> AttemptResult.EXPIRED;
            default -> throw new MalformedResponseException("unknown result in response line: " + words[1]);
        };
        boolean unchanged = words[1].equals("KEEP");
        int length = (int) parseNumber(words[3], MAX_BODY_BYTES);
        if (length > 0 && (unchanged || result != AttemptResult.OK)) {
            throw new MalformedResponseException("unexpected body of " + length + " bytes after " + words[1]);
        }
        return parseFields(words[0], result, unchanged, words[2], length);
    }

    private static ResponseLine parseFields(
            String id, AttemptResult result, boolean unchanged, String fields, int length)
            throws MalformedResponseException {
        CacheStatus cacheStatus = CacheStatus.UNKNOWN;
        long firstByteUs = 0;
        String tag = null;
        long originTimeMs = -1;
        for (String field : fields.equals("-") ? new String[0] : fields.split(",", -1)) {
            int equals = field.indexOf('=');
            String value = field.substring(equals + 1);
            if (equals <= 0 || !isPlainValue(value)) {
                throw new MalformedResponseException("malformed field in response line: " + field);
            }
            switch (field.substring(0, equals)) {
                case "tell" -> cacheStatus = CACHE_STATUSES[Math.max(0, CACHE_STATUS_NAMES.indexOf(value))];
                case "lag" -> firstByteUs = parseMillisAsMicros(value);
                case "tag" -> tag = value;
                case "minted" -> originTimeMs = parseNumber(value, Long.MAX_VALUE);
                default -> {}
            }
        }
        return new ResponseLine(
                id, result, unchanged, cacheStatus, firstByteUs, originTimeMs < 0 ? null : tag, originTimeMs, length);
    }

    private static boolean isPlainValue(String value) {
        return !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '=');
    }

    private static long parseMillisAsMicros(String millis) throws MalformedResponseException {
        try {
            double value = Double.parseDouble(millis);
            if (value >= 0 && value <= Integer.MAX_VALUE) {
                return (long) (value * 1000);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedResponseException("invalid time in response line, in milliseconds: " + millis);
    }

    /** Parses a number that consists of digits only; the parsers of the library would accept signs, too. */
    private static long parseNumber(String text, long max) throws MalformedResponseException {
        try {
            if (!text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9') && Long.parseLong(text) <= max) {
                return Long.parseLong(text);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedResponseException("invalid number in response line, at most " + max + " expected: " + text);
    }
}
