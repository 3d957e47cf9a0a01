package magpiewheel.resp;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import magpiewheel.engine.PendingRequest;
import magpiewheel.staleness.InvalidHintException;
import magpiewheel.staleness.ReadHint;

/**
 * Parses and validates the fields of a request. Values accepted here are written to an endpoint, and an endpoint closes
 * its connection, with every request open on it, on a value that it cannot parse.
 */
final class RequestFields {
    private static final int ID_DIGITS = 16;
    private static final int MAX_DIGITS = 64;
    private static final double MAX_PATIENCE_MS = 600_000;
    private static final int MAX_GROUP = 255;
    private static final int MAX_PART = 1_000_000;
    private static final double MAX_SIZE_KB = 1e7;
    private String trace;
    private String nonce;
    private String heldVersion;
    private double patienceMs = -1;
    private long object;
    private boolean objectGiven;
    private int part;
    private int group;
    private double sizeKb;
    private String hint;

    private RequestFields() {}

    /**
     * Returns the request, or null if a required field is missing or any field is invalid. An invalid hint, if hints
     * are enabled, is reported by the exception.
     */
    static PendingRequest.ClientRequest read(
            RespParser.Frame frame, List<String> classes, List<Long> deadlinesUs, boolean hintsEnabled)
            throws InvalidHintException {
        int profile = classes.indexOf(frame.className());
        RequestFields fields = new RequestFields();
        if (profile < 0 || !fields.parse(frame.fields()) || fields.trace == null || !fields.objectGiven) {
            return null;
        }
        // A request may wait no longer than the deadline of its class, because its state is kept until its time is up.
        long deadlineUs = deadlinesUs.get(profile);
        long patienceUs = fields.patienceMs < 0 ? deadlineUs : Math.min(deadlineUs, (long) (fields.patienceMs * 1000));
        return new PendingRequest.ClientRequest(
                fields.trace,
                profile,
                frame.className(),
                fields.object,
                fields.part,
                fields.group,
                fields.sizeKb,
                patienceUs,
                fields.nonce,
                fields.heldVersion,
                frame.body(),
                hintsEnabled && fields.hint != null ? ReadHint.parse(fields.hint) : ReadHint.NONE);
    }

    private boolean parse(String text) {
        Set<String> names = new HashSet<>();
        try {
            for (String field : text.split(",", -1)) {
                int equals = field.indexOf('=');
                // A repeated name could be read differently here and at the endpoint.
                if (equals <= 0 || !names.add(field.substring(0, equals))) {
                    return false;
                }
                parseField(field.substring(0, equals), field.substring(equals + 1));
            }
        } catch (NumberFormatException e) {
            return false;
        }
        return true;
    }

    private void parseField(String name, String value) {
        switch (name) {
            case "trace" -> trace = requireHex(value, ID_DIGITS, ID_DIGITS);
            case "nonce" -> nonce = requireHex(value, 1, MAX_DIGITS);
            case "ver" -> heldVersion = requireHex(value, 1, MAX_DIGITS);
            case "patience" -> patienceMs = requireRange(Double.parseDouble(requireDecimal(value)), 1, MAX_PATIENCE_MS);
            case "entity" -> {
                object = Long.parseUnsignedLong(requireHex(value, ID_DIGITS, ID_DIGITS), 16);
                objectGiven = true;
            }
            case "piece" -> part = (int) requireRange(Integer.parseInt(requireDecimal(value)), 0, MAX_PART);
            case "lot" -> group = (int) requireRange(Integer.parseInt(requireDecimal(value)), 0, MAX_GROUP);
            case "size" -> sizeKb = requireRange(Double.parseDouble(requireDecimal(value)), 0, MAX_SIZE_KB);
            case "hint" -> hint = value;
            default -> {}
        }
    }

    /** Throws {@link NumberFormatException} unless the value is in the range; NaN is in no range. */
    private static double requireRange(double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new NumberFormatException("out of range");
        }
        return value;
    }

    /**
     * Restricts a number to digits and the decimal point: the library's parsers also accept signs, hexadecimal digits,
     * blanks and words such as Infinity.
     */
    private static String requireDecimal(String value) {
        return require(
                value, value.length() <= MAX_DIGITS && value.chars().allMatch(c -> c >= '0' && c <= '9' || c == '.'));
    }

    private static String requireHex(String value, int minLength, int maxLength) {
        return require(
                value,
                value.length() >= minLength
                        && value.length() <= maxLength
                        && value.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f'));
    }

    private static String require(String value, boolean valid) {
        if (!valid) {
            throw new NumberFormatException(value);
        }
        return value;
    }
}
