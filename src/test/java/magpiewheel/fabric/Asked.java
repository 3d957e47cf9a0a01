package magpiewheel.fabric;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A request as a node reads it off the line. The trace tells which front it came by: clients of the tests put that
 * first.
 */
record Asked(
        String trace, Part part, long limitMs, String via, int tier, long freshMs, Set<String> options, String known) {
    private static final int FRONT_DIGITS = 4;
    /** ms; what the settings of the tests give the class as its fresh time. */
    private static final long CLASS_FRESH_MS = 20_000;

    /** One part of an object. */
    record Part(long object, int number) {}

    static Asked read(String line) {
        String[] words = line.split(" ");
        Map<String, String> fields = Arrays.stream(words[2].split(","))
                .map(field -> field.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
        return new Asked(
                words[1],
                new Part(Long.parseUnsignedLong(fields.get("item"), 16), Integer.parseInt(fields.get("chunk"))),
                Long.parseLong(fields.get("limit")),
                fields.get("via"),
                Integer.parseInt(fields.getOrDefault("tier", "0")),
                Long.parseLong(fields.getOrDefault("fresh", Long.toString(CLASS_FRESH_MS))),
                Set.of(fields.getOrDefault("opts", "").split("\\+")),
                fields.get("known"));
    }

    /** The trace of a front's client, by its number among them. */
    static String trace(int front, long number) {
        return String.format("%04x%012x", front, number);
    }

    int front() {
        return Integer.parseInt(trace.substring(0, FRONT_DIGITS), 16);
    }

    boolean has(String option) {
        return options.contains(option);
    }

    /** Whether a copy is as young as is wanted. */
    boolean takes(Copy copy) {
        return copy != null && System.currentTimeMillis() - copy.mintedMs() <= freshMs;
    }
}
