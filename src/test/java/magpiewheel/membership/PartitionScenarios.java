package magpiewheel.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** Partitions in simulated time: each method plays one seed and returns a measurement. */
final class PartitionScenarios {
    private static final long MS = SimFleet.MS;
    private static final long SECOND = SimFleet.SECOND;

    private PartitionScenarios() {}

    /** A cut of one direction: how long until the front knows that it is isolated, and the effect on others. */
    record OneWayCut(long isolatedUs, int falseDeaths, boolean othersIsolated, boolean othersComplete) {}

    static OneWayCut oneWayCut(long seed, int fronts, boolean deaf) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(2 * SECOND + fleet.random().nextLong(SECOND));
        int cut = fleet.random().nextInt(fronts);
        int[] deaths = {0};
        boolean[] othersIsolated = {false};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> {
            if (process.front != cut) {
                reportedDead[process.front][cut] = true;
                boolean[] before = reportedDead[process.front].clone();
                SimulationHelpers.newlyDead(process, reportedDead[process.front]);
                for (int front = 0; front < fronts; front++) {
                    deaths[0] += front != cut && reportedDead[process.front][front] && !before[front] ? 1 : 0;
                }
                othersIsolated[0] |= process.membership.verdict() == PartitionVerdict.ISOLATED;
            }
        };
        if (deaf) {
            fleet.links().deaf(cut, true);
        } else {
            fleet.links().mute(cut, true);
        }
        long took = fleet.until(5 * SECOND, () -> fleet.of(cut).membership.verdict() == PartitionVerdict.ISOLATED);
        fleet.run(5 * SECOND);
        boolean othersComplete = fleet.running().stream()
                .allMatch(process -> process.front == cut || process.membership.verdict() == PartitionVerdict.COMPLETE);
        boolean stays = fleet.of(cut).membership.verdict() == PartitionVerdict.ISOLATED;
        return new OneWayCut(
                took < 0 || !stays ? SimulationHelpers.NEVER : took, deaths[0], othersIsolated[0], othersComplete);
    }

    /** A split: how long after healing all views are equal and all alive, us; deaths reported within a side. */
    record Split(long equalUs, long aliveUs, int deathsWithin) {}

    static Split split(long seed, int fronts, int sides, long us) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int[] side = new int[fronts];
        for (int front = 0; front < fronts; front++) {
            side[front] = front < sides ? front : fleet.random().nextInt(sides);
        }
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        if (fronts <= 100) {
            fleet.onEvent = process -> {
                boolean[] before = reportedDead[process.front].clone();
                SimulationHelpers.newlyDead(process, reportedDead[process.front]);
                for (int front = 0; front < fronts; front++) {
                    boolean fresh = reportedDead[process.front][front] && !before[front];
                    deaths[0] += fresh && side[front] == side[process.front] ? 1 : 0;
                }
            };
        }
        fleet.links().split(side);
        fleet.run(us);
        fleet.links().heal();
        long healed = fleet.now;
        long[] equal = {-1};
        long alive = fleet.until(20 * SECOND, () -> {
            equal[0] = !fleet.digestsEqual() ? -1 : equal[0] < 0 ? fleet.now - healed : equal[0];
            return equal[0] >= 0 && fleet.converged();
        });
        return new Split(
                equal[0] < 0 ? SimulationHelpers.NEVER : equal[0],
                alive < 0 ? SimulationHelpers.NEVER : alive,
                deaths[0]);
    }

    /**
     * A front announces that it leaves, and ends. As soon as one other knows, the fleet is split for a moment too short
     * for a death, so that only one side receives the repeated announcement; the time until all know, us.
     */
    static long missedLeave(long seed, int fronts) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts).withoutRefusals());
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int departed = fleet.random().nextInt(fronts);
        Process process = fleet.of(departed);
        process.membership.setDraining(process.clock(), true);
        fleet.until(
                SECOND,
                () -> fleet.running().stream()
                        .anyMatch(viewer -> viewer != process && viewer.of(departed) == MemberStatus.LEFT));
        int[] side = new int[fronts];
        for (int front : SimulationHelpers.shuffled(fronts, fleet.random()).subList(0, fronts / 2)) {
            side[front] = fleet.of(front).of(departed) == MemberStatus.LEFT ? 0 : 1;
        }
        fleet.links().split(side);
        fleet.kill(departed);
        fleet.run(200 * MS);
        fleet.links().heal();
        long took = fleet.until(
                20 * SECOND,
                () -> fleet.digestsEqual()
                        && fleet.running().stream().allMatch(viewer -> viewer.of(departed) == MemberStatus.LEFT));
        return took < 0 ? SimulationHelpers.NEVER : took;
    }

    /** Most changes of any verdict within 2 s, while a front's links are cut and opened faster than once a second. */
    static int flapping(long seed, int fronts) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(3 * SECOND);
        PartitionVerdict[] last = new PartitionVerdict[fronts];
        List<ArrayDeque<Long>> changes = new ArrayList<>();
        for (Process process : fleet.running()) {
            last[process.front] = process.membership.verdict();
            changes.add(new ArrayDeque<>());
        }
        int[] most = {0};
        fleet.onEvent = process -> {
            PartitionVerdict verdict = process.membership.verdict();
            if (verdict != last[process.front]) {
                last[process.front] = verdict;
                ArrayDeque<Long> times = changes.get(process.front);
                times.add(fleet.now);
                while (times.peek() <= fleet.now - 2 * SECOND) {
                    times.poll();
                }
                most[0] = Math.max(most[0], times.size());
            }
        };
        int cut = fleet.random().nextInt(fronts);
        int way = fleet.random().nextInt(3);
        for (int i = 0; i < 12; i++) {
            boolean on = i % 2 == 0;
            fleet.links().deaf(cut, on && way != 1);
            fleet.links().mute(cut, on && way != 0);
            fleet.run(fleet.random().nextLong(250 * MS, 950 * MS));
        }
        fleet.links().heal();
        fleet.run(4 * SECOND);
        return most[0];
    }
}
