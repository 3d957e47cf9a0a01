package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import magpiewheel.conformance.PageTable;
import magpiewheel.conformance.Report;
import magpiewheel.conformance.Rows;
import magpiewheel.conformance.Steps;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the cases of the page on pinned reads and compares the page's other tables with the code. */
class CasesTest {
    private static final Path PAGE = Path.of("docs/design/pins.md");
    private static final long MS = CaseWorld.MS;
    private static final Steps<CaseWorld> STEPS = new Steps<CaseWorld>()
            .act("nothing of the class is kept", (w, m) -> {
                w.fresh = 0;
                w.grace = 0;
            })
            .act("the origin's clock is not known", (w, m) -> w.clockWidthMs = 0)
            .act("the origin's clock is known within (\\d+) ms", (w, m) -> w.clockWidthMs = number(m, 1))
            .act("the object was purged (-?\\d+) ms ago", (w, m) -> {
                w.purge = w.originTimeAtAge(number(m, 1));
                w.reads.objectPurged(w.now, CaseWorld.OBJECT, 0, w.purge);
            })
            .act(
                    "cache (\\d) holds a copy (\\d+) ms old",
                    (w, m) -> w.reads.responseServed(
                            w.now, ReadHint.NONE, CaseWorld.OBJECT, 0, number(m, 1), w.originTimeAtAge(number(m, 2))))
            .act(
                    "the parent holds a copy (\\d+) ms old",
                    (w, m) -> w.reads.responseServed(
                            w.now,
                            ReadHint.NONE,
                            CaseWorld.OBJECT,
                            0,
                            CaseWorld.PARENT,
                            w.originTimeAtAge(number(m, 1))))
            .act(
                    "the session was served by cache (\\d)",
                    (w, m) -> w.reads.responseServed(
                            w.now, new ReadHint(0, 0, CaseWorld.SESSION, false), CaseWorld.OBJECT, 0, number(m, 1), 0))
            .act("cache (\\d) (drains|is gone|is ready)", (w, m) -> w.setCacheState(number(m, 1), m.group(2)))
            .act("the board was silent for (\\d+) ms", (w, m) -> w.passWithoutDiscovery(number(m, 1)))
            .act("the board is heard for (\\d+) ms", (w, m) -> w.hearDiscoveryFor(number(m, 1)))
            .act("(\\d+) s pass", (w, m) -> w.hearDiscoveryFor(1_000 * number(m, 1)))
            .act("a read comes with (\\S+)", (w, m) -> w.read(m.group(1)))
            .act("a read without a hint comes", (w, m) -> w.read(""))
            .act("(the origin|a parent) answers a fetch of this read (\\d+) ms later", (w, m) -> {
                // The fetch reaches the origin right after it was sent, so this is the time of the copy.
                long sent = w.now;
                w.originTimeOfResponse = w.originClock() / MS * MS;
                w.now += number(m, 2) * MS;
                w.reads.responseReceived(
                        sent, w.now, w.originTimeOfResponse, m.group(1).equals("the origin"));
            })
            .check("its error is: (.+)", (w, m) -> assertEquals(m.group(1), w.error))
            .check("it is refused at once", (w, m) -> assertTrue(w.bound.strict() && !w.bound.provable()))
            .check("it is not refused at once", (w, m) -> assertFalse(w.bound.strict() && !w.bound.provable()))
            .check("the pause is (\\d+) ms", (w, m) -> assertEquals(number(m, 1) * MS, w.reads.retryAfterUs(w.now)))
            .check(
                    "a copy (\\d+) ms old is (not |)admitted",
                    (w, m) -> assertEquals(
                            m.group(2).isEmpty(), w.reads.accepts(w.now, w.bound, w.originTimeAtAge(number(m, 1)))))
            .check(
                    "an answer that the client's copy of (\\d+) ms holds is (not |)admitted",
                    (w, m) -> assertEquals(
                            m.group(2).isEmpty(), w.reads.accepts(w.now, w.bound, w.originTimeAtAge(number(m, 1)))))
            .check("a copy that has no time is not admitted", (w, m) -> assertFalse(w.reads.accepts(w.now, w.bound, 0)))
            .check(
                    "the origin's copy is (not |)admitted",
                    (w, m) ->
                            assertEquals(m.group(1).isEmpty(), w.reads.accepts(w.now, w.bound, w.originTimeOfResponse)))
            .check(
                    "a copy (\\d+) ms old is told as (\\d+) ms old",
                    (w, m) -> assertEquals(
                            number(m, 2), w.reads.violatingAgeMs(w.now, w.bound, w.originTimeAtAge(number(m, 1)))))
            .check(
                    "a copy (\\d+) ms old is told without an age",
                    (w, m) -> assertEquals(-1, w.reads.violatingAgeMs(w.now, w.bound, w.originTimeAtAge(number(m, 1)))))
            .check(
                    "a copy (\\d+) ms old is told without more",
                    (w, m) -> assertEquals(0, w.reads.violatingAgeMs(w.now, w.bound, w.originTimeAtAge(number(m, 1)))))
            .check("nothing is asked of a node", (w, m) -> assertEquals(0, w.reads.maxAgeUs(w.now, w.bound)))
            .check(
                    "a node may answer with copies up to (\\d+) ms old",
                    (w, m) -> assertEquals(number(m, 1), Math.round(w.reads.maxAgeUs(w.now, w.bound) / 1e3)))
            .check(
                    "cache (\\d) may answer with copies up to 0 ms old",
                    (w, m) -> assertEquals(1, w.reads.maxAgeUs(w.now, CaseWorld.OBJECT, 0, number(m, 1), w.bound)))
            .check("cache (\\d) is asked", (w, m) -> assertEquals(number(m, 1), w.preferredReplica()))
            .check("the module's order holds", (w, m) -> assertEquals(0, w.preferredReplica()))
            .check(
                    "the parent may (not |)fill",
                    (w, m) -> assertEquals(
                            m.group(1).isEmpty(),
                            w.reads.mayBeAcceptable(w.now, CaseWorld.OBJECT, 0, CaseWorld.PARENT, w.bound)));

    private static long number(MatchResult match, int group) {
        return Long.parseLong(match.group(group));
    }

    private static List<Rows.Row> rows() throws IOException {
        return Rows.read(PAGE, "## Rules", "## Cases");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("rows")
    void caseHolds(Rows.Row row) {
        Rows.run(row, STEPS, CaseWorld::new).check();
    }

    @Test
    void pageReportsTheResultsOfTheCases() throws IOException {
        List<Rows.RowResult> results = new ArrayList<>();
        for (Rows.Row row : rows()) {
            results.add(Rows.run(row, STEPS, CaseWorld::new));
        }
        Report.check("## Pinned reads", results);
    }

    @Test
    void everyPhraseIsUsedAndEveryRuleHasACase() throws IOException {
        assertEquals(List.of(), STEPS.unusedPhrases(rows()));
        for (String number : PageTable.column(PageTable.read(PAGE, "## Rules"), "number")) {
            assertTrue(rows().stream().anyMatch(row -> row.paragraph().startsWith(number + " ")), "rule " + number);
        }
    }

    @Test
    void discoveryStatesOnThePageMatchTheCode() throws IOException {
        assertEquals(
                List.of(DiscoveryFreshness.State.values()).stream()
                        .map(Enum::name)
                        .toList(),
                PageTable.column(PageTable.read(PAGE, "## Steps of a silent board"), "step"));
    }
}
