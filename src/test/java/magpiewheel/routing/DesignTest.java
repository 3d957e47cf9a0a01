package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import magpiewheel.conformance.PageTable;
import magpiewheel.conformance.Report;
import magpiewheel.conformance.Rows;
import magpiewheel.conformance.Steps;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the rows of the design's conformance table that a single router can show without a network. */
class DesignTest {
    private static final String HEADING = "## In the module";
    private static final String OBJECT = "object ([A-Z])(?: of another group)?";
    private static final String NODE = "(the hashed cache|another cache|cache \\d+|parent \\d+|the origin)";
    private static final String TIME = "([\\d.]+) (s|ms)";
    private static final Steps<DesignWorld> STEPS = addGivenSteps(addEventSteps(new Steps<>()));

    static {
        addSingleRequestChecks(STEPS);
        addManyRequestChecks(STEPS);
    }

    private static Steps<DesignWorld> addGivenSteps(Steps<DesignWorld> steps) {
        return steps.act("(\\d+) caches, (\\d+|no) parents?( and the origin|)", (w, m) -> {
                    IntStream.rangeClosed(1, Integer.parseInt(m.group(1)))
                            .forEach(i -> w.changeEndpoint(i, EndpointState.READY, 0));
                    int parents = m.group(2).equals("no") ? 0 : Integer.parseInt(m.group(2));
                    IntStream.rangeClosed(1, parents).forEach(i -> w.changeEndpoint(100 + i, EndpointState.READY, 0));
                    if (!m.group(3).isEmpty()) {
                        w.changeEndpoint(DesignWorld.ORIGIN, EndpointState.READY, 0);
                    }
                })
                .act("routers that can't reach the origin themselves", (w, m) -> w.routersReachOrigin = false)
                .act("(\\d+) routers in the location", (w, m) -> w.localRouters = Integer.parseInt(m.group(1)))
                .act("router (\\d+) is heard", (w, m) -> w.discoverRouter(Integer.parseInt(m.group(1))))
                .act(
                        "routers 1 to (\\d+) are heard",
                        (w, m) -> IntStream.rangeClosed(1, Integer.parseInt(m.group(1)))
                                .forEach(w::discoverRouter))
                .act("router (\\d+) tells that " + NODE + " holds " + OBJECT, (w, m) -> {
                    w.currentObject = DesignWorld.object(m.group(3));
                    w.receiveHolderHint(
                            Integer.parseInt(m.group(1)), w.nowUs, w.endpoint(m.group(2)), w.currentObject, 0);
                })
                .act("router (\\d+) tells that " + NODE + " held " + OBJECT + " " + TIME + " ago", (w, m) -> {
                    w.currentObject = DesignWorld.object(m.group(3));
                    w.receiveHolderHint(
                            Integer.parseInt(m.group(1)),
                            w.nowUs,
                            w.endpoint(m.group(2)),
                            w.currentObject,
                            DesignWorld.toUs(m.group(4), m.group(5)));
                })
                .act("word of router (\\d+) comes " + TIME + " late that " + NODE + " holds " + OBJECT, (w, m) -> {
                    w.currentObject = DesignWorld.object(m.group(5));
                    w.receiveHolderHint(
                            Integer.parseInt(m.group(1)),
                            w.nowUs - DesignWorld.toUs(m.group(2), m.group(3)),
                            w.endpoint(m.group(4)),
                            w.currentObject,
                            0);
                })
                .act("router (\\d+) tells that cache (\\d+) holds each of (\\d+) objects", (w, m) -> {
                    long[] objects = IntStream.rangeClosed(1, Integer.parseInt(m.group(3)))
                            .mapToLong(i -> 10_000 + i)
                            .toArray();
                    for (long each : objects) {
                        w.receiveHolderHint(Integer.parseInt(m.group(1)), w.nowUs, Long.parseLong(m.group(2)), each, 0);
                    }
                    w.select(objects);
                    assertTrue(w.selections.values().stream().allMatch(s -> s.node() == Long.parseLong(m.group(2))));
                })
                .act("router (\\d+) tells of (\\d+) requests in hand at the hashed cache of " + OBJECT, (w, m) -> {
                    w.currentObject = DesignWorld.object(m.group(3));
                    w.receiveEndpointLoad(
                            Integer.parseInt(m.group(1)), w.hashedCache(w.currentObject), Integer.parseInt(m.group(2)));
                })
                .act(
                        "router (\\d+) tells of (\\d+) requests in hand at " + NODE,
                        (w, m) -> w.receiveEndpointLoad(
                                Integer.parseInt(m.group(1)), w.endpoint(m.group(3)), Integer.parseInt(m.group(2))));
    }

    private static Steps<DesignWorld> addEventSteps(Steps<DesignWorld> steps) {
        return steps.act(OBJECT + " is asked for", (w, m) -> w.read(DesignWorld.object(m.group(1))))
                .act(OBJECT + " is asked for, and the answer says (hit|filled|nothing)", (w, m) -> {
                    w.read(DesignWorld.object(m.group(1)));
                    w.complete(AttemptResult.OK, status(m.group(2)));
                })
                .act("the answer says (hit|filled|nothing)", (w, m) -> w.complete(AttemptResult.OK, status(m.group(1))))
                .act("the cache says that it lacks it", (w, m) -> w.complete(AttemptResult.MISS, CacheStatus.UNKNOWN))
                .act(
                        "nobody takes its connection",
                        (w, m) -> w.complete(AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN))
                .act(
                        OBJECT + " is asked for, of which this router has a copy of its own, " + TIME + " old",
                        (w, m) -> w.readWithLocalCopy(
                                DesignWorld.object(m.group(1)), DesignWorld.toUs(m.group(2), m.group(3))))
                .act(
                        "part (\\d+) of " + OBJECT + " is asked for",
                        (w, m) -> w.readPart(DesignWorld.object(m.group(2)), Integer.parseInt(m.group(1))))
                .act(
                        "a (safe|harmful) write to " + OBJECT + " comes",
                        (w, m) -> w.write(
                                DesignWorld.object(m.group(2)), m.group(1).equals("safe")))
                .act(TIME + " pass(?:es)?", (w, m) -> w.advance(DesignWorld.toUs(m.group(1), m.group(2))))
                .act(OBJECT + " is purged", (w, m) -> w.purge(DesignWorld.object(m.group(1)), false, 0))
                .act(
                        "the group of " + OBJECT + " is purged",
                        (w, m) -> w.purge(DesignWorld.object(m.group(1)), true, 0))
                .act(
                        "word comes that " + OBJECT + " was purged " + TIME + " ago",
                        (w, m) -> w.purge(
                                DesignWorld.object(m.group(1)), false, DesignWorld.toUs(m.group(2), m.group(3))))
                .act(
                        NODE + " (drains|leaves|joins|starts anew)",
                        (w, m) -> w.changeEndpoint(
                                w.endpoint(m.group(1)),
                                switch (m.group(2)) {
                                    case "drains" -> EndpointState.DRAINING;
                                    case "leaves" -> EndpointState.REMOVED;
                                    default -> EndpointState.READY;
                                },
                                m.group(2).equals("starts anew") ? w.nowUs : 0))
                .act("(\\d+) objects are picked for(?: again)?", (w, m) -> w.select(Integer.parseInt(m.group(1))))
                .act("those objects are picked for", (w, m) -> w.select(w.selections.size()))
                .act("those objects are asked for at once", (w, m) -> w.requestSelectedAtOnce())
                .act(
                        "(\\d+) fills? from parent (\\d+) comes? after " + TIME,
                        (w, m) -> w.completeFills(
                                Integer.parseInt(m.group(1)),
                                100 + Long.parseLong(m.group(2)),
                                DesignWorld.toUs(m.group(3), m.group(4))))
                .act(
                        "(\\d+) other objects are asked for once and filled",
                        (w, m) -> w.scan(Integer.parseInt(m.group(1)), 0, 0))
                .act(
                        "(\\d+) other objects are asked for once and filled, " + OBJECT + " again after each (\\d+)",
                        (w, m) -> w.scan(
                                Integer.parseInt(m.group(1)),
                                DesignWorld.object(m.group(2)),
                                Integer.parseInt(m.group(3))));
    }

    private static CacheStatus status(String word) {
        return word.equals("nothing") ? CacheStatus.UNKNOWN : CacheStatus.valueOf(word.toUpperCase(Locale.ROOT));
    }

    private static void addSingleRequestChecks(Steps<DesignWorld> steps) {
        steps.check("it goes to (.*)", (w, m) -> w.assertSentTo(m.group(1)))
                .check("a miss is filled from (.*)", (w, m) -> w.assertFillSource(m.group(1)))
                .check("no copy from before the purge will do", (w, m) -> w.assertOnlyCopiesSincePurge())
                .check(
                        "any copy of its class's age will do",
                        (w, m) -> assertEquals(0, w.lastAttempt().plan().maxAgeUs()))
                .check("it passes through untouched and is not kept", (w, m) -> w.assertPassedThrough())
                .check(
                        "it is not answered from that copy",
                        (w, m) -> assertTrue(!w.recordedActions.servedLocally.contains(w.lastRequest)))
                .check(
                        "it is answered from that copy",
                        (w, m) -> assertTrue(w.recordedActions.servedLocally.contains(w.lastRequest)))
                .check(
                        "nobody but router (\\d+) is told of any holder",
                        (w, m) -> w.assertHintsOnlyTo(Integer.parseInt(m.group(1))))
                .check(
                        "router (\\d+) is told that " + NODE + " holds " + OBJECT,
                        (w, m) -> w.assertHintSent(
                                Integer.parseInt(m.group(1)), m.group(2), DesignWorld.object(m.group(3))))
                .check("nobody is told of " + OBJECT, (w, m) -> w.assertNoHintSent(DesignWorld.object(m.group(1))))
                .check(
                        "router (\\d+) is told of (\\d+) holders in (\\d+) messages at most",
                        (w, m) -> w.assertHintsPacked(
                                Integer.parseInt(m.group(1)),
                                Integer.parseInt(m.group(2)),
                                Integer.parseInt(m.group(3))))
                .check(
                        "(\\d+) to (\\d+) messages go out in a tenth of a second",
                        (w, m) -> w.assertMessagesPer100Ms(Integer.parseInt(m.group(1)), Integer.parseInt(m.group(2))));
    }

    private static void addManyRequestChecks(Steps<DesignWorld> steps) {
        steps.check("each cache gets its share", (w, m) -> w.assertCachesShareEvenly())
                .check("each parent fills its share", (w, m) -> w.assertParentsShareEvenly())
                .check(
                        "the second pick is the first for each",
                        (w, m) -> assertEquals(
                                w.previousSelections.values().stream()
                                        .map(RecordingActions.StartedAttempt::node)
                                        .toList(),
                                w.selections.values().stream()
                                        .map(RecordingActions.StartedAttempt::node)
                                        .toList()))
                .check(
                        "only objects (from|to) cache (\\d+) moved",
                        (w, m) -> w.assertMoved(m.group(1), Long.parseLong(m.group(2))))
                .check("parent (\\d+) fills (all|none|about a third|about two thirds)", (w, m) -> {
                    double minShare = switch (m.group(2)) {
                        case "all" -> 1;
                        case "none" -> 0;
                        case "about a third" -> 0.25;
                        default -> 0.55;
                    };
                    w.assertFillShare(
                            100 + Long.parseLong(m.group(1)),
                            minShare,
                            minShare == 0 || minShare == 1 ? minShare : minShare + 0.2);
                })
                .check("none goes to cache (\\d+)", (w, m) -> w.assertNoneTo(Long.parseLong(m.group(1))))
                .check("at most (\\d+) fills are out", (w, m) -> w.assertFillsAtMost(Integer.parseInt(m.group(1))));
    }

    static List<Rows.Row> rows() throws IOException {
        return Rows.read(HEADING);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("rows")
    void routerKeepsRowAsTableStates(Rows.Row row) {
        Rows.run(row, STEPS, DesignWorld::new).check();
    }

    @Test
    void reportMatchesRows() throws IOException {
        List<Rows.RowResult> results = new ArrayList<>();
        rows().forEach(row -> results.add(Rows.run(row, STEPS, DesignWorld::new)));
        results.forEach(Rows.RowResult::check);
        Report.check(HEADING, results);
    }

    @Test
    void everyParagraphHasRows() throws IOException {
        Set<String> numbered =
                rows().stream().map(row -> row.paragraph().split(" ")[0]).collect(Collectors.toSet());
        assertEquals(Set.copyOf(PageTable.column(PageTable.read(Rows.DESIGN, "## Paragraphs"), "number")), numbered);
    }

    @Test
    void everyPhraseIsUsedByARow() throws IOException {
        assertEquals(List.of(), STEPS.unusedPhrases(rows()));
    }
}
