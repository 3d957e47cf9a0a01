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
 * The page that says which rows the program keeps. Each suite makes its own section anew from what its rows came to and
 * holds it against the page; with {@code -Dconformance.write=true} it writes it instead.
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
    /** The sections in their order. */
    static final List<String> SECTIONS = List.of("## In the module", "## From outside", "## Pinned reads");

    private Report() {}

    /** A section, sorted by paragraph and name. */
    static String section(String heading, List<Rows.RowResult> rows) {
        StringBuilder text = new StringBuilder(heading)
                .append("\n\n")
                .append(rows.stream().filter(Rows.RowResult::kept).count())
                .append(" of ")
                .append(rows.size())
                .append(" rows are kept.\n\n")
                .append("| paragraph | row | what must follow | kept |\n| --- | --- | --- | --- |\n");
        rows.stream()
                .sorted(Comparator.comparing((Rows.RowResult j) -> j.row().paragraph())
                        .thenComparing(j -> j.row().name()))
                .forEach(judged -> text.append("| ")
                        .append(PageTable.escapeCell(judged.row().paragraph()))
                        .append(" | ")
                        .append(PageTable.escapeCell(judged.row().name()))
                        .append(" | ")
                        .append(PageTable.escapeCell(
                                String.join("; ", judged.row().then())))
                        .append(" | ")
                        .append(
                                judged.kept()
                                        ? "kept"
                                        : PageTable.escapeCell("not kept (" + judged.failedStep() + "): "
                                                + judged.row().notKeptReason()))
                        .append(" |\n"));
        return text.toString();
    }

    /** A page with one of its sections put in; the others stay, and what is in no section goes. */
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

    /** Fails where the page is not what it would be with this section, or writes it. */
    public static synchronized void check(String heading, List<Rows.RowResult> rows) throws IOException {
        if (!SECTIONS.contains(heading)) {
            throw new IllegalArgumentException("no section '" + heading + "'");
        }
        String page = Files.exists(PAGE) ? Files.readString(PAGE) : "";
        String expected = replaceSection(page, heading, section(heading, rows));
        if (Boolean.getBoolean("conformance.write")) {
            Files.writeString(PAGE, expected);
        } else if (!expected.equals(page)) {
            throw new AssertionError(
                    PAGE + " is not what the rows say; -Dconformance.write=true writes it anew. First line "
                            + "that differs: " + firstDifference(page, expected));
        }
    }

    private static String firstDifference(String page, String made) {
        List<String> actual = page.lines().toList();
        List<String> expected = made.lines().toList();
        for (int i = 0; i < Math.max(actual.size(), expected.size()); i++) {
            String actualLine = i < actual.size() ? actual.get(i) : "(end)";
            String expectedLine = i < expected.size() ? expected.get(i) : "(end)";
            if (!actualLine.equals(expectedLine)) {
                return (i + 1) + ", '" + actualLine + "' instead of '" + expectedLine + "'";
            }
        }
        return "none but for ends of lines";
    }
}
