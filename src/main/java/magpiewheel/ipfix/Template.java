package magpiewheel.ipfix;

import java.util.List;

/**
 * The layout of a data set. Of an options template the first {@code scope} fields say what the others speak of; 0 marks
 * a template of flows.
 */
public record Template(int id, int scope, List<Field> fields) {
    /** One field: element number, enterprise number (0 for IANA's) and length in octets. */
    public record Field(int number, long enterprise, int length) {
        /** Whether each record tells its length. */
        public boolean variable() {
            return length == Element.VARIABLE;
        }
    }

    /** Octets of the shortest record; what is variable takes one at least. */
    public int least() {
        int sum = 0;
        for (Field field : fields) {
            sum += field.variable() ? 1 : field.length();
        }
        return sum;
    }
}
