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
 * Rows of a table of conformance: each names the paragraph of the page it holds to, and says in steps what is given,
 * what happens and what must follow. The steps are run as they stand ({@link Steps}). A row that the program does not
 * keep says why, and must then really not be kept: a change is noticed either way.
 */
public final class Rows {
    /** The tables of the page of the design. */
    public static final Path DESIGN = Path.of("src/test/resources/conformance/design.md");

    private static final List<String> COLUMNS =
            List.of("row", "paragraph", "given", "when", "then", "not kept because");

    private Rows() {}

    /** One row; {@code why} is empty unless the program does not keep it. */
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

    /** What became of a row: {@code broken} is the first step that did not follow, null where the row is kept. */
    public record RowResult(Row row, String failedStep, String failure) {
        /** Whether every step of the row followed. */
        public boolean kept() {
            return failedStep == null;
        }

        /** Fails where the program and the table disagree. */
        public void check() {
            if (kept() && !row.notKeptReason().isEmpty()) {
                throw new AssertionError(
                        "'" + row + "' is kept now, but the table says that it is not: " + row.notKeptReason());
            }
            if (!kept() && row.notKeptReason().isEmpty()) {
                throw new AssertionError("'" + row + "' is not kept, though given " + row.given() + ", when "
                        + row.when() + ": not so that '" + failedStep + "': " + failure);
            }
        }
    }

    /** The rows of the table under a heading of {@link #DESIGN}, checked for their form. */
    public static List<Row> read(String heading) throws IOException {
        return parse(PageTable.read(DESIGN, "## Paragraphs"), PageTable.read(DESIGN, heading));
    }

    /** The rows of another page, whose rules one of its own tables numbers. */
    public static List<Row> read(Path page, String rules, String heading) throws IOException {
        return parse(PageTable.read(page, rules), PageTable.read(page, heading));
    }

    /** Rows of a table, whose paragraphs another table numbers. */
    static List<Row> parse(List<Map<String, String>> paragraphs, List<Map<String, String>> table) {
        Map<String, String> numbered = new HashMap<>();
        paragraphs.forEach(paragraph -> numbered.put(paragraph.get("number"), paragraph.get("first words")));
        Set<String> names = new HashSet<>();
        List<Row> rows = new ArrayList<>();
        for (Map<String, String> cells : table) {
            if (!List.copyOf(cells.keySet()).equals(COLUMNS)) {
                throw new IllegalArgumentException("columns are " + cells.keySet() + " and not " + COLUMNS);
            }
            String name = cells.get("row");
            String number = cells.get("paragraph");
            if (name.isEmpty() || !names.add(name)) {
                throw new IllegalArgumentException("row '" + name + "' has no name of its own");
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
                throw new IllegalArgumentException("row '" + name + "' lacks what happens or what follows");
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
     * Runs a row in a world of its own. Only what must follow may fail; a step before that which can't be done, or one
     * that nobody understands, is a fault of the table and not a row that is not kept.
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
            throw new IllegalStateException("a world that can't be closed", e);
        }
    }
}
