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

/** The form of the rows themselves, in a world that is a number. */
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

    private static Rows.RowResult judged(String row) {
        return Rows.run(rows(row).get(0), steps(), () -> new int[1]);
    }

    @Test
    void aRowIsRunAsItStands() {
        Rows.RowResult kept = judged("| a | 1 | add 1; add 2 | add 3 | it is 6 | |");
        assertTrue(kept.kept());
        kept.check();
        assertEquals("1 In the", kept.row().paragraph());
        Rows.RowResult not = judged("| a | 1 | | add 3 | it is 3; it is 4 | |");
        assertEquals("it is 4", not.failedStep());
        assertTrue(assertThrows(AssertionError.class, not::check).getMessage().contains("'it is 4'"));
    }

    @Test
    void aRowThatIsNotKeptMustNotBeKept() {
        judged("| a | 1 | | add 3 | it is 4 | a reason |").check();
        Rows.RowResult kept = judged("| a | 1 | | add 3 | it is 3 | a reason |");
        assertTrue(assertThrows(AssertionError.class, kept::check).getMessage().contains("is kept now"));
    }

    /** Else a row that can't even be run would pass for one that is not kept. */
    @ParameterizedTest
    @CsvSource({
        "subtract 1,it is 0,0 phrases say",
        "add a,it is 0,can't",
        "add 1,it was 1,0 phrases say",
        "add 1,it is broken,a fault"
    })
    void aRowThatCannotBeRunIsAFault(String when, String then, String says) {
        String row = "| a | 1 | | " + when + " | " + then + " | a reason |";
        assertTrue(assertThrows(IllegalStateException.class, () -> judged(row))
                .getMessage()
                .contains(says));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "| | 1 | | add 1 | it is 1 | |; no name",
                "| a | 2 | | add 1 | it is 1 | |; unknown paragraph '2'",
                "| a | 1 | | | it is 1 | |; lacks",
                "| a | 1 | | add 1 | | |; lacks"
            })
    void aRowThatIsOffIsNamed(String row, String says) {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> rows(row))
                .getMessage()
                .contains(says));
        assertThrows(
                IllegalArgumentException.class,
                () -> rows("| a | 1 | | add 1 | it is 1 | |", "| a | 1 | | add 1 | it is 1 | |"),
                "one name twice");
    }

    @Test
    void aPhraseThatTwoMeanOrNobodyUsesIsFound() {
        Steps<int[]> twice = steps().act("add \\d", (w, m) -> {});
        assertTrue(assertThrows(
                        IllegalStateException.class,
                        () -> Rows.run(rows("| a | 1 | | add 1 | it is 1 | |").get(0), twice, () -> new int[1]))
                .getMessage()
                .contains("2 phrases say"));
        assertEquals(
                List.of("add a(n?)", "it is broken"), steps().unusedPhrases(rows("| a | 1 | | add 1 | it is 1 | |")));
    }

    @Test
    void theReportIsSortedAndItsOtherSectionsStay() {
        List<Rows.RowResult> rows =
                List.of(judged("| b | 1 | | add 3 | it is 3 | |"), judged("| a | 1 | | add 3 | it is 4 | why |"));
        String section = Report.section("## From outside", rows);
        List<String> lines = section.lines().toList();
        assertEquals("1 of 2 rows are kept.", lines.get(2));
        assertEquals("| 1 In the | a | it is 4 | not kept (it is 4): why |", lines.get(6));
        assertEquals("| 1 In the | b | it is 3 | kept |", lines.get(7));
        String page = Report.replaceSection("", "## From outside", section);
        String both = Report.replaceSection(page, "## In the module", Report.section("## In the module", rows));
        assertTrue(both.indexOf("## In the module") < both.indexOf("## From outside") && both.endsWith("| kept |\n"));
        assertEquals(both, Report.replaceSection(both, "## From outside", section), "made anew it is the same");
        assertFalse(Report.replaceSection(both + "\nMore.\n", "## From outside", section)
                .contains("More."));
        assertEquals(both, Report.replaceSection("Lies.\n" + both, "## From outside", section));
    }
}
