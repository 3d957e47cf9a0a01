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
    private static final int MOST_DIGITS = 64;
    private static final double MOST_PATIENCE_MS = 600_000;
    private static final int MOST_GROUP = 255;
    private static final int MOST_PART = 1_000_000;
    private static final double MOST_KBYTES = 1e7;
    private String trace;
    private String nonce;
    private String held;
    private double patienceMs = -1;
    private long object;
    private boolean objectGiven;
    private int part;
    private int group;
    private double kbytes;
    private String hint;

    private RequestFields() {}

    /**
     * The request, or null where a field that is needed is missing or any can't be used; a hint, where they are heeded,
     * says by itself what is wrong with it.
     */
    static PendingRequest.ClientRequest read(
            RespParser.Frame frame, List<String> classes, List<Long> deadlinesUs, boolean hints)
            throws InvalidHintException {
        int profile = classes.indexOf(frame.word());
        RequestFields fields = new RequestFields();
        if (profile < 0 || !fields.taken(frame.fields()) || fields.trace == null || !fields.objectGiven) {
            return null;
        }
        // No client waits longer than its class's deadline, and what it asks for is remembered until its time is up.
        long most = deadlinesUs.get(profile);
        long patienceUs = fields.patienceMs < 0 ? most : Math.min(most, (long) (fields.patienceMs * 1000));
        return new PendingRequest.ClientRequest(
                fields.trace,
                profile,
                frame.word(),
                fields.object,
                fields.part,
                fields.group,
                fields.kbytes,
                patienceUs,
                fields.nonce,
                fields.held,
                frame.body(),
                hints && fields.hint != null ? ReadHint.parse(fields.hint) : ReadHint.NONE);
    }

    private boolean taken(String text) {
        Set<String> names = new HashSet<>();
        try {
            for (String field : text.split(",", -1)) {
                int equals = field.indexOf('=');
                // A name that comes twice may mean one thing here and another at the node.
                if (equals <= 0 || !names.add(field.substring(0, equals))) {
                    return false;
                }
                take(field.substring(0, equals), field.substring(equals + 1));
            }
        } catch (NumberFormatException e) {
            return false;
        }
        return true;
    }

    private void take(String name, String value) {
        switch (name) {
            case "trace" -> trace = hex(value, ID_DIGITS, ID_DIGITS);
            case "nonce" -> nonce = hex(value, 1, MOST_DIGITS);
            case "ver" -> held = hex(value, 1, MOST_DIGITS);
            case "patience" -> patienceMs = within(Double.parseDouble(plain(value)), 1, MOST_PATIENCE_MS);
            case "entity" -> {
                object = Long.parseUnsignedLong(hex(value, ID_DIGITS, ID_DIGITS), 16);
                objectGiven = true;
            }
            case "piece" -> part = (int) within(Integer.parseInt(plain(value)), 0, MOST_PART);
            case "lot" -> group = (int) within(Integer.parseInt(plain(value)), 0, MOST_GROUP);
            case "size" -> kbytes = within(Double.parseDouble(plain(value)), 0, MOST_KBYTES);
            case "hint" -> hint = value;
            default -> {}
        }
    }

    /** NaN is within nothing. */
    private static double within(double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new NumberFormatException("out of range");
        }
        return value;
    }

    /** The library's parsers take signs, hexadecimal figures, blanks and words such as Infinity, too. */
    private static String plain(String value) {
        return checked(
                value, value.length() <= MOST_DIGITS && value.chars().allMatch(c -> c >= '0' && c <= '9' || c == '.'));
    }

    private static String hex(String value, int least, int most) {
        return checked(
                value,
                value.length() >= least
                        && value.length() <= most
                        && value.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f'));
    }

    private static String checked(String value, boolean holds) {
        if (!holds) {
            throw new NumberFormatException(value);
        }
        return value;
    }
}
