package magpiewheel.conformance;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Rows of a conformance table. Each names the paragraph of the page that it tests, and has steps for what is given,
 * what happens and what must follow, which {@link Steps} runs as they are written. A row that the program does not keep
 * gives a reason, and the test fails if the program does keep it, so that a change is noticed either way.
 */
public final class Rows {
    /** The conformance tables of the design page. */
    public static final Path DESIGN = Path.of("src/test/resources/conformance/design.md");

    private static final List<String> COLUMNS =
            List.of("row", "paragraph", "given", "when", "then", "not kept because");

    private Rows() {}

    /** One row. {@code notKeptReason} is empty if the program should keep the row. */
    public record Row(
            String name,
            String paragraph,
            List<String> given,
            List<String> when,
            List<String> then,
            String notKeptReason) {
        @Override
        public String toString() {
            return name;
        }
    }

    /**
     * The result of a row. {@code failedStep} is the first step under "then" that did not hold, and {@code failure} the
     * message of its assertion; both are null if the row is kept.
     */
    public record RowResult(Row row, String failedStep, String failure) {
        /** Whether all steps under "then" held. */
        public boolean kept() {
            return failedStep == null;
        }

        /**
         * Checks that the result is the one that the table states.
         *
         * @throws AssertionError if the row is kept and has a reason, or is not kept and has none
         */
        public void check() {
            if (kept() && !row.notKeptReason().isEmpty()) {
                throw new AssertionError(
                        "'" + row + "' is kept now, but the table has a reason why it is not: " + row.notKeptReason());
            }
            if (!kept() && row.notKeptReason().isEmpty()) {
                throw new AssertionError("'" + row + "' is not kept: given " + row.given() + ", when " + row.when()
                        + ", this does not follow: '" + failedStep + "': " + failure);
            }
        }
    }

    /** Returns the rows of the table under a heading of {@link #DESIGN}; malformed rows are an error. */
    public static List<Row> read(String heading) throws IOException {
        return parse(PageTable.read(DESIGN, "## Paragraphs"), PageTable.read(DESIGN, heading));
    }

    /** Returns the rows of another page; its table under the heading {@code rules} lists the paragraphs. */
    public static List<Row> read(Path page, String rules, String heading) throws IOException {
        return parse(PageTable.read(page, rules), PageTable.read(page, heading));
    }

    /** Returns the rows of a table; another table lists the numbers and first words of the paragraphs. */
    static List<Row> parse(List<Map<String, String>> paragraphs, List<Map<String, String>> table) {
        Map<String, String> numbered = new HashMap<>();
        paragraphs.forEach(paragraph -> numbered.put(paragraph.get("number"), paragraph.get("first words")));
        Set<String> names = new HashSet<>();
        List<Row> rows = new ArrayList<>();
        for (Map<String, String> cells : table) {
            if (!List.copyOf(cells.keySet()).equals(COLUMNS)) {
                throw new IllegalArgumentException("columns are " + cells.keySet() + ", expected " + COLUMNS);
            }
            String name = cells.get("row");
            String number = cells.get("paragraph");
            if (name.isEmpty() || !names.add(name)) {
                throw new IllegalArgumentException("row name '" + name + "' is empty or not unique");
            }
            if (!numbered.containsKey(number)) {
                throw new IllegalArgumentException("row '" + name + "' names the unknown paragraph '" + number + "'");
            }
            Row row = new Row(
                    name,
                    number + " " + numbered.get(number),
                    steps(cells.get("given")),
                    steps(cells.get("when")),
                    steps(cells.get("then")),
                    cells.get("not kept because"));
            if (row.when().isEmpty() || row.then().isEmpty()) {
                throw new IllegalArgumentException("row '" + name + "' has no step under 'when' or under 'then'");
            }
            rows.add(row);
        }
        return rows;
    }

    private static List<String> steps(String cell) {
        return Arrays.stream(cell.split(";"))
                .map(String::strip)
                .filter(step -> !step.isEmpty())
                .toList();
    }

    /**
     * Runs a row in a new world. Only the steps under "then" may fail.
     *
     * @throws IllegalStateException if an earlier step fails or a step matches no phrase: then the table is faulty, and
     *     the row does not count as one that is not kept
     */
    public static <W> RowResult run(Row row, Steps<W> steps, Supplier<W> world) {
        W ownWorld = world.get();
        try {
            for (List<String> part : List.of(row.given(), row.when())) {
                for (String step : part) {
                    steps.act(ownWorld, step);
                }
            }
            for (String step : row.then()) {
                try {
                    steps.check(ownWorld, step);
                } catch (AssertionError e) {
                    return new RowResult(row, step, e.getMessage());
                }
            }
            return new RowResult(row, null, null);
        } catch (Exception | AssertionError e) {
            throw new IllegalStateException("row '" + row + "' can't be run: " + e.getMessage(), e);
        } finally {
            if (ownWorld instanceof AutoCloseable closeable) {
                close(closeable);
            }
        }
    }

    private static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            throw new IllegalStateException("cannot close the world of a row", e);
        }
    }
}
