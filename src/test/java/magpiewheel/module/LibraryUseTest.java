package magpiewheel.module;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The README's example, as a new user would drive the module without the adapter. */
class LibraryUseTest {
    @Test
    void aStartAListARequestItsAnswerAndAPurge() {
        Recorder actions = new Recorder();
        long now = 5_000_000;
        Director.Settings settings = RulesTest.settings(true, Director.Siblings.LOCATION);
        Director director = new Rules(settings, 1, actions, settings.place().setup(0, 400_000, 1, false), null, false);
        director.members(now, Director.ListMode.FULL, RulesTest.fleet());
        director.request(now, new Director.Request(1, 0, 0, 5, 0, 2_000_000, 0, 77, false, false));
        long node = actions.last().node();
        assertTrue(node >= 1 && node <= 4);
        director.outcome(
                now,
                new Director.Outcome(
                        1, 0, node, Director.Result.OK, 80_000, true, Director.Note.FILLED, 20_000, new double[0]));
        director.purged(now, new Director.Purge(50_000, 77, 5));
        director.request(now, new Director.Request(2, 0, 0, 5, 0, 2_000_000, 0, 77, false, false));
        assertEquals(node, actions.last().node());
        assertTrue(actions.last().plan().maxAgeUs() > 0);
    }
}
