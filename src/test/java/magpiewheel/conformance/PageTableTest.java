package magpiewheel.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PageTableTest {
    private static final String PAGE = """
            # Page
            | not | this |
            | --- | --- |
            | 0 | 0 |
            ```
            ## Two
            ```
            ## One
            No table here.
            ### Deeper
            | a | b |
            | :-- | --: |
            | `X` | 1 \\| 2 |
            | `y` and `z` | |
            Words end a table.
            | a | b |
            ## Two
            ## Three
            | a |
            | --- |
            """;

    private static List<Map<String, String>> tableUnder(String heading) {
        return PageTable.parse(PAGE.lines().toList(), heading);
    }

    @Test
    void readsTheFirstTableUnderAHeading() {
        List<Map<String, String>> rows = tableUnder("## One");
        assertEquals(List.of(Map.of("a", "`X`", "b", "1 | 2"), Map.of("a", "`y` and `z`", "b", "")), rows);
        assertEquals(List.of("a", "b"), List.copyOf(rows.get(0).keySet()), "columns in their order");
        assertEquals(List.of("X", "`y` and `z`"), PageTable.column(rows, "a"));
        assertEquals(rows, tableUnder("### Deeper"));
        assertEquals(List.of(), tableUnder("## Three"), "a table without rows");
    }

    @Test
    void errorsNameTheMissingHeadingTableOrColumn() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> tableUnder("## Four"))
                .getMessage()
                .contains("## Four"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> tableUnder("## Two"))
                .getMessage()
                .contains("no table"));
        List<Map<String, String>> rows = tableUnder("## One");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> PageTable.column(rows, "c"))
                .getMessage()
                .contains("'c' among [a, b]"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "| a | b |,| x |,| 1 | 2 |; line 3: expected a delimiter row with 2 columns",
                "| a | b |,| --- |,| 1 | 2 |; line 3: expected a delimiter row with 2 columns",
                "| a | b |,| --- | --- |,| 1 |; line 4: row has 1 cells, expected 2",
                "| a | b |,| --- | --- |,| 1 | 2; line 4: row does not end with a vertical bar",
                "| a | a |,| --- | --- |,| 1 | 2 |; line 2: duplicate column in [a, a]",
                "| a | b |; line 3: expected a delimiter row with 2 columns"
            })
    void malformedTableIsRejected(String rows, String message) {
        List<String> lines = new ArrayList<>(List.of("## T"));
        lines.addAll(List.of(rows.split(",")));
        assertEquals(
                message,
                assertThrows(IllegalArgumentException.class, () -> PageTable.parse(lines, "## T"))
                        .getMessage());
    }

    /** Any text that is written as a cell is read back the same, apart from white space. */
    @Property(tries = 300)
    void escapedCellsRoundTrip(@ForAll @Size(min = 1, max = 5) List<String> cells) {
        List<String> lines = new ArrayList<>(List.of("## T"));
        StringBuilder head = new StringBuilder("|");
        StringBuilder row = new StringBuilder("|");
        for (int i = 0; i < cells.size(); i++) {
            head.append(" c").append(i).append(" |");
            row.append(' ').append(PageTable.escapeCell(cells.get(i))).append(" |");
        }
        lines.addAll(List.of(head.toString(), "| --- ".repeat(cells.size()) + "|", row.toString()));
        List<Map<String, String>> read = PageTable.parse(lines, "## T");
        assertEquals(1, read.size());
        assertEquals(
                cells.stream().map(cell -> cell.replaceAll("\\s+", " ").strip()).toList(),
                List.copyOf(read.get(0).values()));
    }
}
