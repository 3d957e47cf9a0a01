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
    private static final String HEAD = """
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
    static String section(String heading, List<Rows.Judged> rows) {
        StringBuilder text = new StringBuilder(heading)
                .append("\n\n")
                .append(rows.stream().filter(Rows.Judged::kept).count())
                .append(" of ")
                .append(rows.size())
                .append(" rows are kept.\n\n")
                .append("| paragraph | row | what must follow | kept |\n| --- | --- | --- | --- |\n");
        rows.stream()
                .sorted(Comparator.comparing((Rows.Judged j) -> j.row().paragraph())
                        .thenComparing(j -> j.row().name()))
                .forEach(judged -> text.append("| ")
                        .append(PageTable.cell(judged.row().paragraph()))
                        .append(" | ")
                        .append(PageTable.cell(judged.row().name()))
                        .append(" | ")
                        .append(PageTable.cell(String.join("; ", judged.row().then())))
                        .append(" | ")
                        .append(
                                judged.kept()
                                        ? "kept"
                                        : PageTable.cell("not kept (" + judged.broken() + "): "
                                                + judged.row().why()))
                        .append(" |\n"));
        return text.toString();
    }

    /** A page with one of its sections put in; the others stay, and what is in no section goes. */
    static String with(String page, String heading, String section) {
        Map<String, String> sections = SECTIONS.stream().collect(Collectors.toMap(s -> s, s -> old(page, s)));
        sections.put(heading, section);
        List<String> parts = new ArrayList<>(List.of(HEAD));
        SECTIONS.stream().map(sections::get).filter(text -> !text.isEmpty()).forEach(parts::add);
        return String.join("\n", parts);
    }

    private static String old(String page, String heading) {
        int from = page.indexOf(heading + "\n");
        int next = from < 0 ? -1 : page.indexOf("\n## ", from);
        return from < 0 ? "" : page.substring(from, next < 0 ? page.length() : next);
    }

    /** Fails where the page is not what it would be with this section, or writes it. */
    public static synchronized void check(String heading, List<Rows.Judged> rows) throws IOException {
        if (!SECTIONS.contains(heading)) {
            throw new IllegalArgumentException("no section '" + heading + "'");
        }
        String page = Files.exists(PAGE) ? Files.readString(PAGE) : "";
        String made = with(page, heading, section(heading, rows));
        if (Boolean.getBoolean("conformance.write")) {
            Files.writeString(PAGE, made);
        } else if (!made.equals(page)) {
            throw new AssertionError(
                    PAGE + " is not what the rows say; -Dconformance.write=true writes it anew. First line "
                            + "that differs: " + difference(page, made));
        }
    }

    private static String difference(String page, String made) {
        List<String> is = page.lines().toList();
        List<String> must = made.lines().toList();
        for (int i = 0; i < Math.max(is.size(), must.size()); i++) {
            String one = i < is.size() ? is.get(i) : "(end)";
            String other = i < must.size() ? must.get(i) : "(end)";
            if (!one.equals(other)) {
                return (i + 1) + ", '" + one + "' instead of '" + other + "'";
            }
        }
        return "none but for ends of lines";
    }
}
