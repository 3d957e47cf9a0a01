package magpiewheel.histories;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * A copy of an object as the origin gave it out, at a time by the origin's clock. Its bytes say so, whoever passes them
 * on.
 */
record Copy(long object, long version, long mintedMs, long serial) {
    private static final int BYTES = 600;
    private static final int WORDS = 5;
    private static final String FIRST = "copy";

    /** Copies of one version share a tag, as they do in real caches. */
    String tag() {
        return HexFormat.of().toHexDigits((int) object) + HexFormat.of().toHexDigits((int) version);
    }

    byte[] bytes() {
        byte[] text = String.join(
                        " ",
                        FIRST,
                        Long.toHexString(object),
                        Long.toString(version),
                        Long.toString(mintedMs),
                        serial + "\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        return Arrays.copyOf(text, BYTES);
    }

    /** The copy that these bytes are; null where they are none. */
    static Copy read(byte[] bytes) {
        String[] words = new String(bytes, StandardCharsets.ISO_8859_1).split("\n", 2)[0].split(" ");
        if (bytes.length != BYTES || words.length != WORDS || !words[0].equals(FIRST)) {
            return null;
        }
        return new Copy(
                Long.parseUnsignedLong(words[1], 16),
                Long.parseLong(words[2]),
                Long.parseLong(words[3]),
                Long.parseLong(words[4]));
    }
}
