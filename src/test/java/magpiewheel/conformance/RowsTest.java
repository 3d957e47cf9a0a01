package magpiewheel.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of reading and running rows, in a world that consists of one number. */
class RowsTest {
    private static final String HEAD = "| row | paragraph | given | when | then | not kept because |";

    private static Steps<int[]> steps() {
        return new Steps<int[]>()
                .act("add (\\d+)", (w, m) -> w[0] += Integer.parseInt(m.group(1)))
                .act("add a(n?)", (w, m) -> {
                    throw new AssertionError("can't");
                })
                .check("it is (\\d+)", (w, m) -> assertEquals(Integer.parseInt(m.group(1)), w[0]))
                .check("it is broken", (w, m) -> {
                    throw new IllegalStateException("a fault");
                });
    }

    private static List<Rows.Row> rows(String... rows) {
        String table = "## T\n" + HEAD + "\n| --- | --- | --- | --- | --- | --- |\n" + String.join("\n", rows);
        return Rows.parse(
                List.of(Map.of("number", "1", "first words", "In the")),
                PageTable.parse(table.lines().toList(), "## T"));
    }

    private static Rows.RowResult run(String row) {
        return Rows.run(rows(row).get(0), steps(), () -> new int[1]);
    }

    @Test
    void rowIsRunStepByStep() {
        Rows.RowResult kept = run("| a | 1 | add 1; add 2 | add 3 | it is 6 | |");
        assertTrue(kept.kept());
        kept.check();
        assertEquals("1 In the", kept.row().paragraph());
        Rows.RowResult failed = run("| a | 1 | | add 3 | it is 3; it is 4 | |");
        assertEquals("it is 4", failed.failedStep());
        assertTrue(
                assertThrows(AssertionError.class, failed::check).getMessage().contains("'it is 4'"));
    }

    @Test
    void rowWithAReasonMustFail() {
        run("| a | 1 | | add 3 | it is 4 | a reason |").check();
        Rows.RowResult kept = run("| a | 1 | | add 3 | it is 3 | a reason |");
        assertTrue(assertThrows(AssertionError.class, kept::check).getMessage().contains("is kept now"));
    }

    /** Otherwise a row that cannot be run would count as one that is not kept. */
    @ParameterizedTest
    @CsvSource({
        "subtract 1,it is 0,0 phrases match",
        "add a,it is 0,can't",
        "add 1,it was 1,0 phrases match",
        "add 1,it is broken,a fault"
    })
    void rowThatCannotRunIsAnError(String when, String then, String message) {
        String row = "| a | 1 | | " + when + " | " + then + " | a reason |";
        assertTrue(assertThrows(IllegalStateException.class, () -> run(row))
                .getMessage()
                .contains(message));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "| | 1 | | add 1 | it is 1 | |; is empty or not unique",
                "| a | 2 | | add 1 | it is 1 | |; unknown paragraph '2'",
                "| a | 1 | | | it is 1 | |; has no step under",
                "| a | 1 | | add 1 | | |; has no step under"
            })
    void malformedRowIsRejected(String row, String message) {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> rows(row))
                .getMessage()
                .contains(message));
        assertThrows(
                IllegalArgumentException.class,
                () -> rows("| a | 1 | | add 1 | it is 1 | |", "| a | 1 | | add 1 | it is 1 | |"),
                "duplicate row name");
    }

    @Test
    void ambiguousAndUnusedPhrasesAreFound() {
        Steps<int[]> ambiguous = steps().act("add \\d", (w, m) -> {});
        assertTrue(assertThrows(
                        IllegalStateException.class,
                        () -> Rows.run(rows("| a | 1 | | add 1 | it is 1 | |").get(0), ambiguous, () -> new int[1]))
                .getMessage()
                .contains("2 phrases match"));
        assertEquals(
                List.of("add a(n?)", "it is broken"), steps().unusedPhrases(rows("| a | 1 | | add 1 | it is 1 | |")));
    }

    @Test
    void reportIsSortedAndKeepsOtherSections() {
        List<Rows.RowResult> rows =
                List.of(run("| b | 1 | | add 3 | it is 3 | |"), run("| a | 1 | | add 3 | it is 4 | why |"));
        String section = Report.section("## From outside", rows);
        List<String> lines = section.lines().toList();
        assertEquals("1 of 2 rows are kept.", lines.get(2));
        assertEquals("| 1 In the | a | it is 4 | not kept (it is 4): why |", lines.get(6));
        assertEquals("| 1 In the | b | it is 3 | kept |", lines.get(7));
        String page = Report.replaceSection("", "## From outside", section);
        String twoSections = Report.replaceSection(page, "## In the module", Report.section("## In the module", rows));
        assertTrue(twoSections.indexOf("## In the module") < twoSections.indexOf("## From outside")
                && twoSections.endsWith("| kept |\n"));
        assertEquals(
                twoSections,
                Report.replaceSection(twoSections, "## From outside", section),
                "replacing a section with the same one changes nothing");
        assertFalse(Report.replaceSection(twoSections + "\nMore.\n", "## From outside", section)
                .contains("More."));
        assertEquals(
                twoSections,
                Report.replaceSection("Text outside the sections.\n" + twoSections, "## From outside", section));
    }
}
