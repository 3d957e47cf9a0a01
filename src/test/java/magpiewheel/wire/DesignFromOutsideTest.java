package magpiewheel.wire;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import magpiewheel.conformance.Report;
import magpiewheel.conformance.Rows;
import magpiewheel.conformance.Steps;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The rows of the design that can be seen from outside, on real processes. */
public class DesignFromOutsideTest {
    private static final String HEADING = "## From outside";
    private static final String OBJECT = "object ([A-Z])";
    private static final Steps<DesignFleet> STEPS = given(new Steps<>());
    private final List<Rows.RowResult> judged = new ArrayList<>();

    static {
        follows(STEPS);
    }

    private static Steps<DesignFleet> given(Steps<DesignFleet> steps) {
        return steps.act(
                        "(\\d+) caches, (\\d+|no) parents?( and the origin|)",
                        (w, m) -> w.nodes(
                                Integer.parseInt(m.group(1)),
                                m.group(2).equals("no") ? 0 : Integer.parseInt(m.group(2)),
                                !m.group(3).isEmpty()))
                .act(
                        "front (\\d+) does not know (cache \\d+)",
                        (w, m) -> w.hide(Integer.parseInt(m.group(1)), m.group(2)))
                .act("(\\d+) fronts? of (?:its|their) own", (w, m) -> w.fronts(Integer.parseInt(m.group(1)), false))
                .act("(\\d+) fronts of one location", (w, m) -> w.fronts(Integer.parseInt(m.group(1)), true))
                .act("the first node asked next is full", (w, m) -> w.firstIsFull())
                .act(
                        OBJECT + " is asked for at front (\\d+)",
                        (w, m) -> w.read(Integer.parseInt(m.group(2)), m.group(1), 0))
                .act(
                        "part (\\d+) of " + OBJECT + " is asked for at front (\\d+)",
                        (w, m) -> w.read(Integer.parseInt(m.group(3)), m.group(2), Integer.parseInt(m.group(1))))
                .act(
                        "(\\d+) objects are asked for at front (\\d+)",
                        (w, m) -> w.readMany(Integer.parseInt(m.group(2)), Integer.parseInt(m.group(1))))
                .act(
                        "a write to " + OBJECT + " comes to front (\\d+)",
                        (w, m) -> w.write(Integer.parseInt(m.group(2)), m.group(1)))
                .act(
                        "the board tells that (the group of |)" + OBJECT + " was purged (\\d+) ms ago",
                        (w, m) -> w.purge(m.group(2), !m.group(1).isEmpty(), Long.parseLong(m.group(3))))
                .act("the board tells that the cache asked last drains", (w, m) -> w.drains());
    }

    private static void follows(Steps<DesignFleet> steps) {
        steps.check("it goes to (.*) at once", (w, m) -> w.goesTo(m.group(1)))
                .check("a miss is filled from (.*)", (w, m) -> w.filledFrom(m.group(1)))
                .check("the origin has it untouched, and no other node was asked", (w, m) -> w.untouched())
                .check("no copy from before the purge will do", (w, m) -> w.onlyCopiesSincePurge())
                .check("any copy of its class's age will do", (w, m) -> w.anyAge())
                .check("the drained cache is asked no more", (w, m) -> w.drainedIsAskedNoMore())
                .check("each cache gets its share", (w, m) -> w.cachesShare())
                .check("the second pick is the first for each", (w, m) -> w.samePicks())
                .check("all objects of (cache \\d+) moved, and no others", (w, m) -> w.moved(m.group(1)))
                .check(
                        "front (\\d+) asks for what front (\\d+) had filled where it is",
                        (w, m) -> w.learns(Integer.parseInt(m.group(1)), Integer.parseInt(m.group(2))));
    }

    /** The rows of the table, one test each. */
    @DataProvider
    public Object[][] rows() throws IOException {
        return Rows.read(HEADING).stream().map(row -> new Object[] {row}).toArray(Object[][]::new);
    }

    /** Plays a row on real processes; whether it is kept must agree with the table. */
    @Test(dataProvider = "rows")
    public void theProgramKeepsTheRowOrNotAsTheTableSays(Rows.Row row) {
        Rows.RowResult one = Rows.run(row, STEPS, () -> {
            try {
                return new DesignFleet();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        judged.add(one);
        one.check();
    }

    /** The section of the page must be what the rows just came to. */
    @Test(dependsOnMethods = "theProgramKeepsTheRowOrNotAsTheTableSays", alwaysRun = true)
    public void theReportIsWhatTheRowsSay() throws IOException {
        assertEquals(
                judged.stream().map(one -> one.row().name()).sorted().toList(),
                Rows.read(HEADING).stream().map(Rows.Row::name).sorted().toList(),
                "rows that were judged");
        judged.forEach(Rows.RowResult::check);
        Report.check(HEADING, judged);
    }

    /** No phrase is defined that no row uses. */
    @Test
    public void everyPhraseIsUsed() throws IOException {
        assertEquals(STEPS.unusedPhrases(Rows.read(HEADING)), List.of());
    }
}
