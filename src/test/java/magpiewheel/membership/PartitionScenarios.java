package magpiewheel.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.membership.SimulatedFleet.Process;

/** Partitions in simulated time. Each method runs one seed and returns a measurement. */
final class PartitionScenarios {
    private static final long MS = SimulatedFleet.MS;
    private static final long SECOND = SimulatedFleet.SECOND;

    private PartitionScenarios() {}

    /**
     * A cut of one direction: the time until the member considers itself isolated, in microseconds, and the effect on
     * others.
     */
    record OneWayCut(long isolatedUs, int falseDeaths, boolean othersIsolated, boolean othersComplete) {}

    static OneWayCut oneWayCut(long seed, int memberCount, boolean inbound) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(2 * SECOND + fleet.random().nextLong(SECOND));
        int cutMember = fleet.random().nextInt(memberCount);
        int[] deaths = {0};
        boolean[] othersIsolated = {false};
        boolean[][] reportedDead = new boolean[memberCount][memberCount];
        fleet.onEvent = process -> {
            if (process.memberId != cutMember) {
                reportedDead[process.memberId][cutMember] = true;
                boolean[] before = reportedDead[process.memberId].clone();
                SimulationHelpers.countNewlyDead(process, reportedDead[process.memberId]);
                for (int member = 0; member < memberCount; member++) {
                    deaths[0] +=
                            member != cutMember && reportedDead[process.memberId][member] && !before[member] ? 1 : 0;
                }
                othersIsolated[0] |= process.membership.verdict() == PartitionVerdict.ISOLATED;
            }
        };
        if (inbound) {
            fleet.links().setInboundCut(cutMember, true);
        } else {
            fleet.links().setOutboundCut(cutMember, true);
        }
        long elapsedUs = fleet.runUntil(
                5 * SECOND, () -> fleet.processOf(cutMember).membership.verdict() == PartitionVerdict.ISOLATED);
        fleet.run(5 * SECOND);
        boolean othersComplete = fleet.running().stream()
                .allMatch(process ->
                        process.memberId == cutMember || process.membership.verdict() == PartitionVerdict.COMPLETE);
        boolean stillIsolated = fleet.processOf(cutMember).membership.verdict() == PartitionVerdict.ISOLATED;
        return new OneWayCut(
                elapsedUs < 0 || !stillIsolated ? SimulationHelpers.NEVER : elapsedUs,
                deaths[0],
                othersIsolated[0],
                othersComplete);
    }

    /**
     * A split: the times from healing until all views are equal and until all members are alive, in microseconds, and
     * the deaths reported within a side.
     */
    record Split(long equalUs, long aliveUs, int deathsWithin) {}

    static Split split(long seed, int memberCount, int sides, long us) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int[] side = new int[memberCount];
        for (int member = 0; member < memberCount; member++) {
            side[member] = member < sides ? member : fleet.random().nextInt(sides);
        }
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[memberCount][memberCount];
        if (memberCount <= 100) {
            fleet.onEvent = process -> {
                boolean[] before = reportedDead[process.memberId].clone();
                SimulationHelpers.countNewlyDead(process, reportedDead[process.memberId]);
                for (int member = 0; member < memberCount; member++) {
                    boolean newlyReported = reportedDead[process.memberId][member] && !before[member];
                    deaths[0] += newlyReported && side[member] == side[process.memberId] ? 1 : 0;
                }
            };
        }
        fleet.links().split(side);
        fleet.run(us);
        fleet.links().heal();
        long healed = fleet.now;
        long[] equal = {-1};
        long alive = fleet.runUntil(20 * SECOND, () -> {
            equal[0] = !fleet.digestsEqual() ? -1 : equal[0] < 0 ? fleet.now - healed : equal[0];
            return equal[0] >= 0 && fleet.converged();
        });
        return new Split(
                equal[0] < 0 ? SimulationHelpers.NEVER : equal[0],
                alive < 0 ? SimulationHelpers.NEVER : alive,
                deaths[0]);
    }

    /**
     * A member announces that it leaves, and ends. As soon as one other member knows, the fleet is split for a time too
     * short for a death to be declared, so that only one side receives the repeated announcement. Returns the time
     * until all know, in microseconds.
     */
    static long missedLeave(long seed, int memberCount) {
        SimulatedFleet fleet =
                SimulationHelpers.convergedFleet(Plan.of(seed, memberCount).withoutRefusals());
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int departed = fleet.random().nextInt(memberCount);
        Process process = fleet.processOf(departed);
        process.membership.setDraining(process.clock(), true);
        fleet.runUntil(
                SECOND,
                () -> fleet.running().stream()
                        .anyMatch(viewer -> viewer != process && viewer.statusOf(departed) == MemberStatus.LEFT));
        int[] side = new int[memberCount];
        for (int member :
                SimulationHelpers.shuffled(memberCount, fleet.random()).subList(0, memberCount / 2)) {
            side[member] = fleet.processOf(member).statusOf(departed) == MemberStatus.LEFT ? 0 : 1;
        }
        fleet.links().split(side);
        fleet.kill(departed);
        fleet.run(200 * MS);
        fleet.links().heal();
        long elapsedUs = fleet.runUntil(
                20 * SECOND,
                () -> fleet.digestsEqual()
                        && fleet.running().stream().allMatch(viewer -> viewer.statusOf(departed) == MemberStatus.LEFT));
        return elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs;
    }

    /**
     * Returns the most changes of any verdict within 2 s, while a member's links are cut and restored faster than once
     * a second.
     */
    static int flapping(long seed, int memberCount) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(3 * SECOND);
        PartitionVerdict[] last = new PartitionVerdict[memberCount];
        List<ArrayDeque<Long>> changes = new ArrayList<>();
        for (Process process : fleet.running()) {
            last[process.memberId] = process.membership.verdict();
            changes.add(new ArrayDeque<>());
        }
        int[] maxChanges = {0};
        fleet.onEvent = process -> {
            PartitionVerdict verdict = process.membership.verdict();
            if (verdict != last[process.memberId]) {
                last[process.memberId] = verdict;
                ArrayDeque<Long> times = changes.get(process.memberId);
                times.add(fleet.now);
                while (times.peek() <= fleet.now - 2 * SECOND) {
                    times.poll();
                }
                maxChanges[0] = Math.max(maxChanges[0], times.size());
            }
        };
        int cutMember = fleet.random().nextInt(memberCount);
        int direction = fleet.random().nextInt(3);
        for (int i = 0; i < 12; i++) {
            boolean blocked = i % 2 == 0;
            fleet.links().setInboundCut(cutMember, blocked && direction != 1);
            fleet.links().setOutboundCut(cutMember, blocked && direction != 0);
            fleet.run(fleet.random().nextLong(250 * MS, 950 * MS));
        }
        fleet.links().heal();
        fleet.run(4 * SECOND);
        return maxChanges[0];
    }
}
