package magpiewheel.conformance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The page that lists which rows the program keeps. Each suite generates its section from the results of its rows and
 * compares it with the page; with {@code -Dconformance.write=true} it rewrites the section instead.
 */
public final class Report {
    private static final Path PAGE = Path.of("docs/CONFORMANCE.md");
    private static final String PAGE_INTRODUCTION = """
            # Conformance

            What the program keeps of the page of its design, and what not, row by row. \
            The suites `routing.DesignTest` and
            `wire.DesignFromOutsideTest` make this page from what the rows of \
            `src/test/resources/conformance/design.md` came
            to, and fail where it says anything else; with `-Dconformance.write=true` they write it anew. \
            A paragraph goes by
            its number and first words. The section on pinned reads is made likewise, \
            by `staleness.CasesTest` from `docs/design/pins.md`.
            """;
    /** Headings of the sections, in the order of the page. */
    static final List<String> SECTIONS = List.of("## In the module", "## From outside", "## Pinned reads");

    private Report() {}

    /** Returns a section with a table of the results, sorted by paragraph and row name. */
    static String section(String heading, List<Rows.RowResult> rows) {
        StringBuilder text = new StringBuilder(heading)
                .append("\n\n")
                .append(rows.stream().filter(Rows.RowResult::kept).count())
                .append(" of ")
                .append(rows.size())
                .append(" rows are kept.\n\n")
                .append("| paragraph | row | what must follow | kept |\n| --- | --- | --- | --- |\n");
        rows.stream()
                .sorted(Comparator.comparing(
                                (Rows.RowResult result) -> result.row().paragraph())
                        .thenComparing(result -> result.row().name()))
                .forEach(result -> text.append("| ")
                        .append(PageTable.escapeCell(result.row().paragraph()))
                        .append(" | ")
                        .append(PageTable.escapeCell(result.row().name()))
                        .append(" | ")
                        .append(PageTable.escapeCell(
                                String.join("; ", result.row().then())))
                        .append(" | ")
                        .append(
                                result.kept()
                                        ? "kept"
                                        : PageTable.escapeCell("not kept (" + result.failedStep() + "): "
                                                + result.row().notKeptReason()))
                        .append(" |\n"));
        return text.toString();
    }

    /** Returns the page with one section replaced. Other sections stay; text outside the sections is dropped. */
    static String replaceSection(String page, String heading, String section) {
        Map<String, String> sections =
                SECTIONS.stream().collect(Collectors.toMap(s -> s, s -> existingSection(page, s)));
        sections.put(heading, section);
        List<String> parts = new ArrayList<>(List.of(PAGE_INTRODUCTION));
        SECTIONS.stream().map(sections::get).filter(text -> !text.isEmpty()).forEach(parts::add);
        return String.join("\n", parts);
    }

    private static String existingSection(String page, String heading) {
        int from = page.indexOf(heading + "\n");
        int next = from < 0 ? -1 : page.indexOf("\n## ", from);
        return from < 0 ? "" : page.substring(from, next < 0 ? page.length() : next);
    }

    /**
     * Checks that the page has this section, or writes it if {@code conformance.write} is set.
     *
     * @throws AssertionError if the page differs, with the first line that does
     */
    public static synchronized void check(String heading, List<Rows.RowResult> rows) throws IOException {
        if (!SECTIONS.contains(heading)) {
            throw new IllegalArgumentException("unknown section '" + heading + "', expected one of " + SECTIONS);
        }
        String page = Files.exists(PAGE) ? Files.readString(PAGE) : "";
        String expected = replaceSection(page, heading, section(heading, rows));
        if (Boolean.getBoolean("conformance.write")) {
            Files.writeString(PAGE, expected);
        } else if (!expected.equals(page)) {
            throw new AssertionError(
                    PAGE + " does not match the results of the rows; -Dconformance.write=true rewrites it. "
                            + "First difference: " + firstDifference(page, expected));
        }
    }

    private static String firstDifference(String actualPage, String expectedPage) {
        List<String> actual = actualPage.lines().toList();
        List<String> expected = expectedPage.lines().toList();
        for (int i = 0; i < Math.max(actual.size(), expected.size()); i++) {
            String actualLine = i < actual.size() ? actual.get(i) : "(end)";
            String expectedLine = i < expected.size() ? expected.get(i) : "(end)";
            if (!actualLine.equals(expectedLine)) {
                return "line " + (i + 1) + ", '" + actualLine + "' instead of '" + expectedLine + "'";
            }
        }
        return "line endings only";
    }
}
