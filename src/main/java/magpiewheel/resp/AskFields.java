package magpiewheel.resp;

import java.util.List;
import magpiewheel.core.Call;

/** The fields of a request, checked. */
final class AskFields {
    private static final long MOST_PATIENCE_MS = 600_000;
    private static final int MOST_GROUP = 0xffff;
    private String trace;
    private String nonce;
    private String held;
    private long patienceMs = -1;
    private long object;
    private boolean objectGiven;
    private int part;
    private int group;
    private double kbytes;

    private AskFields() { }

    /** The request, or null where a field that is needed is missing or any can't be used. */
    static Call.Ask read(RespReader.Frame frame, List<String> classes, List<Long> deadlinesUs) {
        int profile = classes.indexOf(frame.word());
        AskFields fields = new AskFields();
        try {
            for (String field : frame.fields().split(",")) {
                fields.take(field);
            }
        } catch (RuntimeException e) {
            return null;
        }
        if (profile < 0 || fields.trace == null || !fields.objectGiven) {
            return null;
        }
        long patienceUs = fields.patienceMs < 0 ? deadlinesUs.get(profile) : fields.patienceMs * 1000;
        return new Call.Ask(fields.trace, profile, frame.word(), fields.object, fields.part, fields.group,
                fields.kbytes, patienceUs, fields.nonce, fields.held, frame.body());
    }

    private void take(String field) {
        int equals = field.indexOf('=');
        if (equals < 0) {
            if (!field.isEmpty()) {
                throw new IllegalArgumentException(field);
            }
            return;
        }
        String value = field.substring(equals + 1);
        switch (field.substring(0, equals)) {
            case "trace" -> trace = token(value, 16);
            case "nonce" -> nonce = token(value, 64);
            case "ver" -> held = token(value, 64);
            case "patience" -> patienceMs = (long) within(Double.parseDouble(value), MOST_PATIENCE_MS);
            case "entity" -> {
                object = Long.parseUnsignedLong(token(value, 16), 16);
                objectGiven = true;
            }
            case "piece" -> part = (int) within(Integer.parseInt(value), Integer.MAX_VALUE);
            case "lot" -> group = (int) within(Integer.parseInt(value), MOST_GROUP);
            case "size" -> kbytes = within(Double.parseDouble(value), 1e9);
            default -> { }
        }
    }

    private static double within(double value, double most) {
        if (!(value >= 0 && value <= most)) {
            throw new IllegalArgumentException("out of range");
        }
        return value;
    }

    /** Passed on to nodes as it is, so nothing that could end a word or a line may stand in it. */
    private static String token(String value, int most) {
        boolean plain = !value.isEmpty() && value.length() <= most
                && value.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '+' && c != '=');
        if (!plain) {
            throw new IllegalArgumentException("not a word");
        }
        return value;
    }
}
