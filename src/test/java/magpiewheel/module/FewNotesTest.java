package magpiewheel.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiewheel.module.Director.ListMode;
import magpiewheel.module.Director.Note;
import magpiewheel.module.Director.Outcome;
import magpiewheel.module.Director.Request;
import magpiewheel.module.Director.Result;
import org.junit.jupiter.api.Test;

/** Sites whose answers tell only whether it was a hit: a failed fill does not say whose fault it was. */
class FewNotesTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long PARENT = 7;
    private static final int CACHES = 4;
    private static final int REQUESTS = 400;
    private static final int LAST = 100;

    private final Recorder router = new Recorder();
    private final Rules rules;
    private long now = 100 * SECOND;

    FewNotesTest() {
        Director.Settings set = RulesTest.settings(false, Director.Siblings.OFF);
        set = RulesTest.with(set, set.joins(), false);
        rules = new Rules(set, 42, router, set.place().setup(0, 400_000, 1, false), null, false);
        rules.members(now, ListMode.CACHED, RulesTest.fleet());
    }

    /** Asks for something new, answers all attempts, and returns how many of them were to be filled at the parent. */
    private int tryParent(long id) {
        rules.request(now, new Request(id, 0, 0, 5, 0, 2 * SECOND, 0, id * 31, false, false));
        int named = 0;
        int attempt = 0;
        boolean served = false;
        while (!served && router.last().request() == id && attempt < sent(id)) {
            Recorder.Sent last = router.last();
            boolean fails = last.plan().source() == PARENT;
            named += fails ? 1 : 0;
            served = !fails;
            now += 20 * MS;
            Result result = fails ? Result.ERROR : Result.OK;
            Note note = fails ? Note.NONE : Note.FILLED;
            rules.outcome(now, new Outcome(id, attempt, last.node(), result, 20 * MS, served, note, 0, new double[0]));
            attempt++;
        }
        return named;
    }

    private long sent(long id) {
        return router.sent.stream().filter(sent -> sent.request() == id).count();
    }

    /** All caches come by the blame alike, the parent alone of the parents: it is left out, and they are not. */
    @Test
    void aParentThatFailsItsFillsIsFoundOut() {
        int named = 0;
        for (long id = 1; id <= REQUESTS; id++) {
            int tries = tryParent(id);
            named += id > REQUESTS - LAST ? tries : 0;
        }
        assertTrue(named < LAST / 10, "of the last " + LAST + " requests so many tried the failing parent: " + named);
        long used = router.sent.stream()
                .skip(router.sent.size() - LAST)
                .mapToLong(Recorder.Sent::node)
                .filter(node -> node <= CACHES)
                .distinct()
                .count();
        assertEquals(CACHES, used, "no cache is left out");
    }
}
