package magpiewheel.histories;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import magpiewheel.fabric.Fabric;

/** The faults of a history, each at its time, that a seed decides. The same seed gives the same list. */
final class Faults {
    /** What a history suffers, besides clocks that are off, which all of them do. */
    enum Kind {
        CALM,
        LOSS,
        ONE_WAY,
        SPLIT,
        BOARD,
        KILL,
        PAUSE,
        DRAIN,
        PURGE,
        ALL
    }

    private interface Deed {
        void to(HistoryFleet fleet) throws Exception;
    }

    private record Step(long atMs, String what, Deed deed) {}

    private static final long LASTS_MS = 3_000;
    /** ms; so long a front's board must be silent to be missed, and for what it does not tell to be. */
    private static final long BOARD_LASTS_MS = 9_000;

    private static final long PURGE_LASTS_MS = 5_000;
    private static final double MOST_LOSS = 0.5;
    private static final int MOST_DELAY_MS = 200;
    private static final int MOST_PAUSE_MS = 800;
    private static final int PURGE_LATE_MS = 3_000;

    private final long seed;
    private final Kind kind;
    private final int fronts;
    private final Random random;
    private final List<Step> steps = new ArrayList<>();

    Faults(long seed, Kind kind, int fronts, int objects) {
        this.seed = seed;
        this.kind = kind;
        this.fronts = fronts;
        this.random = new Random(seed);
        if (kind == Kind.ALL) {
            for (Kind each : Kind.values()) {
                if (each != Kind.CALM && each != Kind.ALL && random.nextInt(3) > 0) {
                    plan(each, objects, lastsMs());
                }
            }
        } else {
            plan(kind, objects, lastsMs());
        }
        steps.sort(Comparator.comparingLong(Step::atMs));
    }

    /** How long sessions go on. */
    long lastsMs() {
        return kind == Kind.BOARD ? BOARD_LASTS_MS : kind == Kind.PURGE || kind == Kind.ALL ? PURGE_LASTS_MS : LASTS_MS;
    }

    private void at(long ms, String what, Deed deed) {
        steps.add(new Step(ms, what, deed));
    }

    private long soon(long lastsMs) {
        return 200 + random.nextInt((int) lastsMs / 4);
    }

    private void plan(Kind each, int objects, long lastsMs) {
        long at = soon(lastsMs);
        long then = at + lastsMs / 2;
        int one = random.nextInt(fronts);
        int other = (one + 1 + random.nextInt(fronts - 1)) % fronts;
        switch (each) {
            case LOSS -> {
                double share = random.nextDouble() * MOST_LOSS;
                at(at, "lose " + share, fleet -> fleet.fabric().lose(Fabric.ALL, Fabric.ALL, share));
                at(at, "delay, double, reorder", fleet -> {
                    fleet.fabric().delay(Fabric.ALL, one, 0, MOST_DELAY_MS);
                    fleet.fabric().twice(one, Fabric.ALL, share);
                    fleet.fabric().overtake(other, Fabric.ALL, share);
                });
            }
            case ONE_WAY -> {
                at(at, "cut " + one + " to all", fleet -> fleet.fabric().cutOneWay(one, Fabric.ALL));
                at(then, "cut all to " + other, fleet -> fleet.fabric().cutOneWay(Fabric.ALL, other));
            }
            case SPLIT -> {
                Set<Integer> side =
                        new TreeSet<>(random.ints(fronts / 2, 0, fronts).boxed().toList());
                at(at, "split off " + side, fleet -> fleet.fabric().split(side));
                at(then, "heal", fleet -> fleet.healWays());
            }
            case BOARD -> boardFalls(at, one, other, objects, lastsMs);
            case KILL -> {
                at(at, "kill " + one, fleet -> fleet.kill(one));
                at(at + 300, "start " + one, fleet -> fleet.start(one));
                at(then, "kill " + other, fleet -> fleet.kill(other));
                at(then + 100, "start " + other, fleet -> fleet.start(other));
            }
            case PAUSE -> pauses(at);
            case DRAIN -> {
                int cache = random.nextInt(HistoryFleet.CACHES);
                at(at, "cache " + cache + " drains", fleet -> fleet.changes(cache, 1));
                at(at + 600, "cache " + cache + " gone", fleet -> fleet.changes(cache, 2));
                at(at + 1_200, "cache " + cache + " back", fleet -> fleet.changes(cache, 0));
            }
            case PURGE -> purges(at, objects);
            default -> {}
        }
    }

    /** Two fronts stop hearing the board while objects are purged; one hears it again before the end. */
    private void boardFalls(long at, int one, int other, int objects, long lastsMs) {
        for (int front : List.of(one, other)) {
            at(at, "board of " + front + " silent", fleet -> fleet.fabric().boardSilent(front, true));
        }
        for (int i = 0; i < 3; i++) {
            int object = i == 0 ? Session.SHARED + one : i == 1 ? Session.SHARED + other : random.nextInt(objects);
            at(at + 100 + i * 200L, "purge " + object + ", late at the caches", fleet -> fleet.purgeSlowly(object));
        }
        at(lastsMs - 700, "board of " + one + " heard", fleet -> fleet.fabric().boardSilent(one, false));
    }

    /** Three pauses of fronts, one after the other. */
    private void pauses(long at) {
        for (int i = 0; i < 3; i++) {
            int front = random.nextInt(fronts);
            long ms = 100 + random.nextInt(MOST_PAUSE_MS - 100);
            at(at + i * 700L, "pause " + front + " for " + ms, fleet -> fleet.pause(front, ms));
        }
    }

    /** Purges of objects that some fronts hear of late. */
    private void purges(long at, int objects) {
        for (int i = 0; i < 4; i++) {
            int object = random.nextInt(objects);
            Set<Integer> late = new TreeSet<>(random.ints(2, 0, fronts).boxed().toList());
            long lateMs = 300 + random.nextInt(PURGE_LATE_MS);
            at(at + i * 400L, "purge " + object + ", to " + late + " " + lateMs + " ms late", fleet -> {
                fleet.silentFor(late, lateMs);
                fleet.purge(object);
            });
        }
    }

    /** Does one after another at its time, or as soon after it as the one before has ended. */
    void run(HistoryFleet fleet) throws Exception {
        long from = System.nanoTime();
        for (Step step : steps) {
            TimeUnit.NANOSECONDS.sleep(
                    Math.max(0, from + TimeUnit.MILLISECONDS.toNanos(step.atMs()) - System.nanoTime()));
            step.deed().to(fleet);
        }
    }

    @Override
    public String toString() {
        return kind + " of seed " + seed + ": "
                + steps.stream().map(step -> step.atMs() + " ms " + step.what()).collect(Collectors.joining("; "));
    }
}
