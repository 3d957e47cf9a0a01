package magpiewheel.resp;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import magpiewheel.engine.PendingRequest;
import magpiewheel.staleness.InvalidHintException;
import magpiewheel.staleness.ReadHint;

/**
 * The fields of a request, checked. Whatever passes here is written to a node, and a node closes on what it can't read,
 * with all that is open on that connection.
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
     * The request, or null where a field that is needed is missing or any can't be used; a hint, where they are heeded,
     * says by itself what is wrong with it.
     */
    static PendingRequest.ClientRequest read(
            RespParser.Frame frame, List<String> classes, List<Long> deadlinesUs, boolean hintsEnabled)
            throws InvalidHintException {
        int profile = classes.indexOf(frame.className());
        RequestFields fields = new RequestFields();
        if (profile < 0 || !fields.parse(frame.fields()) || fields.trace == null || !fields.objectGiven) {
            return null;
        }
        // No client waits longer than its class's deadline, and what it asks for is remembered until its time is up.
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
                // A name that comes twice may mean one thing here and another at the node.
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

    /** NaN is within nothing. */
    private static double requireRange(double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new NumberFormatException("out of range");
        }
        return value;
    }

    /** The library's parsers take signs, hexadecimal figures, blanks and words such as Infinity, too. */
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
