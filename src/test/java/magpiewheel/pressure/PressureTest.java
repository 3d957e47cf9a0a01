package magpiewheel.pressure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import magpiewheel.records.FlowRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PressureTest {
    private static FlowRecord flow(int profile, long octets) {
        return new FlowRecord(
                FlowRecord.Kind.SEND,
                10,
                20,
                1,
                2,
                3,
                4,
                octets,
                0,
                1,
                profile,
                0,
                FlowRecord.SourceKind.CACHE,
                FlowRecord.End.SERVED,
                FlowRecord.Hit.HIT,
                5,
                6,
                7);
    }

    @Test
    void levelsRiseAtOnceAndFallOneAtATime() {
        LevelControl control = new LevelControl(5_000);
        assertEquals(Level.EACH, control.at(0, 0.49));
        assertEquals(Level.AGGREGATE, control.at(50, 0.5));
        assertEquals(Level.COUNT, control.at(100, 1));
        assertEquals(Level.COUNT, control.at(10_000, 0.8), "not low enough");
        assertEquals(Level.COUNT, control.at(11_000, 0.1));
        assertEquals(Level.COUNT, control.at(15_900, 0.1));
        assertEquals(Level.AGGREGATE, control.at(16_000, 0.1));
        assertEquals(Level.AGGREGATE, control.at(20_900, 0.1), "a level is held as long as any other");
        assertEquals(Level.EACH, control.at(26_000, 0.1));
    }

    /** A store that swings round a bound each second for ten minutes: fewer than one change in thirty seconds. */
    @Test
    void aSwingRoundABoundChangesLittle() {
        LevelControl control = new LevelControl(5_000);
        for (long now = 0; now < 600_000; now += 50) {
            control.at(now, now / 1_000 % 2 == 0 ? 0.2 : 0.55);
        }
        assertTrue(control.changes() <= 1, "changes " + control.changes());
    }

    @Test
    void theBestCollectorThatIsUpIsUsed() {
        CollectorChoice choice = new CollectorChoice(2, 250, 30_000, 3_000, 1);
        assertEquals(new CollectorChoice.Turn(-1, 0), choice.turn(0));
        choice.failed(0, 0);
        assertEquals(new CollectorChoice.Turn(-1, 1), choice.turn(0));
        choice.reached(0, 1);
        assertEquals(1, choice.turn(1).use(), "with none in use the first that is up will do at once");
        long retry = choice.nextTryMs(0);
        assertTrue(retry >= 125 && retry <= 250);
        assertEquals(new CollectorChoice.Turn(1, 0), choice.turn(retry), "the better one is tried beside it");
        choice.reached(retry, 0);
        assertEquals(1, choice.turn(retry + 2_999).use(), "not before it has held");
        assertEquals(0, choice.turn(retry + 3_000).use());
        choice.failed(retry + 4_000, 0);
        assertEquals(1, choice.turn(retry + 4_000).use(), "the other was up all the time");
    }

    /** One that comes and goes each second is tried less and less; one that held is tried again soon. */
    @Test
    void aCollectorThatFlapsIsTriedEverMoreSeldom() {
        CollectorChoice choice = new CollectorChoice(1, 250, 30_000, 3_000, 2);
        int tries = 0;
        for (long now = 0; now < 600_000; now += 50) {
            if (choice.turn(now).attempt() == 0) {
                tries++;
                choice.reached(now, 0);
                choice.failed(now + 20, 0);
            }
        }
        assertTrue(tries >= 15 && tries < 45, "tries " + tries);
        choice.reached(600_000, 0);
        choice.turn(604_000);
        choice.failed(604_000, 0);
        assertTrue(choice.nextTryMs(0) <= 604_250, "forgiven");
    }

    @Property(tries = 200, seed = "1")
    void waitsStayInTheirBounds(@ForAll @Size(max = 60) List<Boolean> ends, @ForAll long seed) {
        CollectorChoice choice = new CollectorChoice(1, 100, 5_000, 1_000, seed);
        long now = 0;
        for (boolean held : ends) {
            while (choice.turn(now).attempt() < 0) {
                now += 10;
            }
            choice.reached(now, 0);
            now += held ? 2_000 : 1;
            choice.failed(now, 0);
            long wait = choice.nextTryMs(0) - now;
            assertTrue(wait >= 50 && wait <= 5_000, "wait " + wait);
        }
    }

    @Test
    void whatWasStoredDrainsAtItsRateBesideWhatComesIn() {
        DrainBudget budget = new DrainBudget(100);
        assertEquals(7, budget.allowed(0, 7));
        assertEquals(17, budget.allowed(100, 7));
        budget.spent(17, 7);
        assertEquals(3, budget.allowed(100, 3));
        assertEquals(100, budget.allowed(1_000_000, 0), "a second's worth is saved at most");
        budget.spent(100, 0);
        assertEquals(0, budget.allowed(5, 0), "a clock that goes back earns nothing");
        assertEquals(10, budget.allowed(105, 0));
    }

    @Test
    void templatesGoFirstAndAgainAfterTheirTime() {
        TemplateClock clock = new TemplateClock(1_000);
        assertTrue(clock.due(5));
        assertTrue(clock.due(6), "not sent yet: one that failed is due at once");
        clock.sent(6);
        assertFalse(clock.due(1_005));
        assertTrue(clock.due(1_006));
        clock.sent(1_006);
        assertTrue(clock.due(3), "the clock went back");
        clock.sent(3);
        clock.lost();
        assertTrue(clock.due(4));
        TemplateClock once = new TemplateClock(0);
        once.sent(0);
        assertFalse(once.due(1_000_000));
    }

    @Test
    void sumsAreExactAndBounded() {
        Aggregates sums = new Aggregates(2, 1_000);
        assertTrue(sums.add(0, flow(0, 5)) && sums.add(10, flow(0, 6)) && sums.add(20, flow(1, 7)));
        assertFalse(sums.add(30, flow(2, 8)), "no room for a third kind");
        assertEquals(List.of(), sums.due(999, false));
        List<FlowRecord> due = sums.due(1_000, false);
        assertEquals(List.of(11L, 7L), due.stream().map(FlowRecord::octets).toList());
        assertEquals(List.of(2L, 1L), due.stream().map(FlowRecord::flows).toList());
        assertEquals(0, sums.size());
    }

    /**
     * Space-Saving's promise, on any stream: never below the truth, above it by at most the told error and N /
     * counters.
     */
    @Property(tries = 300, seed = "1")
    void hittersAreBoundedByTheTruth(
            @ForAll @Size(min = 1, max = 400) List<@IntRange(max = 40) Integer> objects,
            @ForAll @IntRange(min = 1, max = 16) int counters,
            @ForAll long seed) {
        HeavyHitters sketch = new HeavyHitters(counters);
        Map<Long, Long> exact = new HashMap<>();
        SplittableRandom random = new SplittableRandom(seed);
        long total = 0;
        for (int object : objects) {
            long octets = random.nextLong(1, 1_000);
            sketch.add(object, octets);
            exact.merge((long) object, octets, Long::sum);
            total += octets;
        }
        List<HeavyHitters.Hitter> top = sketch.top(counters);
        assertEquals(Math.min(counters, exact.size()), top.size());
        long sum = 0;
        for (HeavyHitters.Hitter hitter : top) {
            long truth = exact.get(hitter.object());
            assertTrue(hitter.octets() >= truth && hitter.octets() - hitter.error() <= truth, hitter + " of " + truth);
            assertTrue(hitter.error() <= total / counters, "error " + hitter);
            sum += hitter.octets();
        }
        assertEquals(total, sum, "the counts add up to all bytes");
    }

    @Test
    void aLinkIsCrowdedOnceAndSaysWithWhat() {
        Crowding link = new Crowding(1_000, 1_000_000);
        assertEquals(Crowding.Change.SAME, link.at(0));
        link.filled(1, 700_000);
        link.filled(2, 150_000);
        assertEquals(Crowding.Change.SAME, link.at(999));
        assertEquals(Crowding.Change.ENTERED, link.at(1_000));
        assertEquals(0.85, link.share(), 1e-9);
        assertEquals(1, link.top(1).get(0).object());
        for (int i = 2; i <= 5; i++) {
            assertEquals(Crowding.Change.STILL, link.at(1_000L * i));
        }
        assertEquals(Crowding.Change.LEFT, link.at(6_000));
        assertFalse(link.crowded());
        link.filled(1, 790_000);
        assertEquals(Crowding.Change.SAME, link.at(7_000), "below the bound to enter");
    }

    @Test
    void aLinkOfUnknownSizeIsNeverCrowded() {
        Crowding link = new Crowding(1_000, 0);
        link.at(0);
        link.filled(1, Long.MAX_VALUE / 2);
        assertEquals(Crowding.Change.SAME, link.at(1_000));
    }
}
