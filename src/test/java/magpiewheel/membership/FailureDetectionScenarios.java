package magpiewheel.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.membership.SimulatedFleet.Process;

/** Failures, pauses and restarts in simulated time. Each method runs one seed and returns a measurement. */
final class FailureDetectionScenarios {
    private static final long MS = SimulatedFleet.MS;
    private static final long SECOND = SimulatedFleet.SECOND;

    private FailureDetectionScenarios() {}

    /** Returns the time until all views are equal and complete after a start within half a second, in microseconds. */
    static long convergenceTime(long seed, int memberCount) {
        long elapsedUs = new SimulatedFleet(Plan.of(seed, memberCount)).converge(30 * SECOND);
        return elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs;
    }

    /**
     * Kills members one after another, one per interval. Returns the times until each is removed from all other views,
     * in microseconds and in ascending order.
     */
    static List<Long> detectionTimes(
            long seed, int memberCount, int kills, long intervalUs, double loss, boolean refusals) {
        Plan plan = Plan.of(seed, memberCount);
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(refusals ? plan : plan.withoutRefusals());
        fleet.lossRate = loss;
        fleet.run(SECOND + fleet.random().nextLong(SimulatedFleet.HEARTBEAT_US));
        List<Integer> order = SimulationHelpers.shuffled(memberCount, fleet.random());
        List<Long> detectionTimesUs = new ArrayList<>();
        List<int[]> pending = new ArrayList<>();
        long[] killedAt = new long[kills];
        long nextKill = fleet.now;
        int killed = 0;
        while (killed < kills || !pending.isEmpty()) {
            if (killed < kills && fleet.now >= nextKill) {
                fleet.kill(order.get(killed));
                killedAt[killed] = fleet.now;
                pending.add(new int[] {order.get(killed), killed, 0});
                killed++;
                nextKill = fleet.now + intervalUs;
            }
            fleet.run(5 * MS);
            for (int i = pending.size() - 1; i >= 0; i--) {
                int[] entry = pending.get(i);
                if (isRemovedFromAllViews(fleet, entry)) {
                    detectionTimesUs.add(fleet.now - killedAt[entry[1]]);
                    pending.remove(i);
                } else if (fleet.now - killedAt[entry[1]] > 20 * SECOND) {
                    detectionTimesUs.add(SimulationHelpers.NEVER);
                    pending.remove(i);
                }
            }
        }
        Collections.sort(detectionTimesUs);
        return detectionTimesUs;
    }

    /**
     * Kills several members at once. Returns the times until each is removed from all other views, in microseconds and
     * in ascending order.
     */
    static List<Long> simultaneousDetectionTimes(Plan plan, int kills, double loss) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(plan);
        fleet.run(SECOND + fleet.random().nextLong(plan.heartbeatUs()));
        fleet.lossRate = loss;
        long at = fleet.now;
        List<int[]> pending = new ArrayList<>();
        for (int member :
                SimulationHelpers.shuffled(plan.memberCount(), fleet.random()).subList(0, kills)) {
            fleet.kill(member);
            pending.add(new int[] {member, 0, 0});
        }
        List<Long> detectionTimesUs = new ArrayList<>();
        while (!pending.isEmpty() && fleet.now - at < 20 * SECOND) {
            fleet.run(5 * MS);
            for (int i = pending.size() - 1; i >= 0; i--) {
                if (isRemovedFromAllViews(fleet, pending.get(i))) {
                    detectionTimesUs.add(fleet.now - at);
                    pending.remove(i);
                }
            }
        }
        pending.forEach(entry -> detectionTimesUs.add(SimulationHelpers.NEVER));
        Collections.sort(detectionTimesUs);
        return detectionTimesUs;
    }

    /**
     * Whether no view lists a member any more. Starts with the view that listed it at the last call.
     *
     * @param entry member, index of its kill, and the view to start with, which is updated
     */
    private static boolean isRemovedFromAllViews(SimulatedFleet fleet, int[] entry) {
        for (int offset = 0; offset < fleet.plan.memberCount(); offset++) {
            Process viewer = fleet.processOf((entry[2] + offset) % fleet.plan.memberCount());
            if (viewer != null && SimulationHelpers.isListed(viewer, entry[0])) {
                entry[2] = viewer.memberId;
                return false;
            }
        }
        return true;
    }

    /** Returns the number of deaths reported while all members run and are connected. */
    static int falseDeaths(long seed, int memberCount, double loss, long us) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.lossRate = loss;
        fleet.duplicateRate = 0.01;
        fleet.reorderRate = 0.02;
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[memberCount][memberCount];
        fleet.onEvent =
                process -> deaths[0] += SimulationHelpers.countNewlyDead(process, reportedDead[process.memberId]);
        fleet.run(us);
        return deaths[0];
    }

    /** Returns how often a member comes to be suspected while all members run and are connected. */
    static int suspicions(long seed, int memberCount, double loss, long us) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(SECOND);
        fleet.lossRate = loss;
        int[] suspicions = {0};
        int[] suspectingViews = new int[memberCount];
        boolean[][] suspectedBy = new boolean[memberCount][memberCount];
        fleet.onEvent = process -> {
            for (int member = 0; member < memberCount; member++) {
                boolean suspect = member != process.memberId && process.statusOf(member) == MemberStatus.SUSPECT;
                if (suspect != suspectedBy[process.memberId][member]) {
                    suspectedBy[process.memberId][member] = suspect;
                    suspicions[0] += suspect && suspectingViews[member] == 0 ? 1 : 0;
                    suspectingViews[member] += suspect ? 1 : -1;
                }
            }
        };
        fleet.run(us);
        return suspicions[0];
    }

    /**
     * A pause: deaths reported of the paused member or by it, and the time until all members are alive again, in
     * microseconds.
     */
    record Pause(int falseDeaths, long aliveUs) {}

    static Pause pause(long seed, int memberCount, long us, double loss) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.lossRate = loss;
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[memberCount][memberCount];
        fleet.onEvent =
                process -> deaths[0] += SimulationHelpers.countNewlyDead(process, reportedDead[process.memberId]);
        int paused = fleet.random().nextInt(memberCount);
        fleet.pause(paused, us);
        fleet.run(us);
        long elapsedUs = fleet.runUntil(5 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        fleet.run(SECOND);
        return new Pause(deaths[0], elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs);
    }

    /**
     * Refusals that filters forge in the name of a member: deaths reported of it, the highest sum of quotas, the time
     * until all members are alive again in microseconds, and the number of probes.
     */
    record ForgedRefusals(
            int deaths, double highestQuotaSum, String highestQuotaSumDescription, long recoveryUs, int probes) {}

    /** Places filters between a member and some of its neighbours for 3 s, which refuse their probes in its name. */
    static ForgedRefusals forgedRefusals(long seed, int memberCount, int filters) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(8 * SECOND);
        int member = fleet.random().nextInt(memberCount);
        List<Integer> neighbours =
                List.copyOf(new ObserverRings(memberCount).observersOf(member, other -> true, other -> false));
        QuotaSumMonitor quotas = new QuotaSumMonitor(fleet);
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[memberCount][memberCount];
        Consumer<Process> previous = fleet.onEvent;
        fleet.onEvent = process -> {
            previous.accept(process);
            deaths[0] += SimulationHelpers.countNewlyDead(process, reportedDead[process.memberId]);
        };
        long probes =
                fleet.running().stream().mapToLong(process -> process.probes).sum();
        neighbours.stream()
                .filter(other -> other != member)
                .limit(filters)
                .forEach(other -> fleet.links().addFilter(other, member));
        fleet.run(3 * SECOND);
        probes = fleet.running().stream().mapToLong(process -> process.probes).sum() - probes;
        fleet.links().heal();
        long elapsedUs = fleet.runUntil(20 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        return new ForgedRefusals(
                deaths[0],
                quotas.highestSum,
                quotas.highestSumDescription,
                elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs,
                (int) probes);
    }

    /**
     * Kills a member and restarts it within 0.3 s: deaths reported of the new process, the highest sum of quotas, and
     * the time until all members are alive, in microseconds.
     */
    static ForgedRefusals quickRestart(long seed, int memberCount, double loss) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(8 * SECOND);
        fleet.lossRate = loss;
        QuotaSumMonitor quotas = new QuotaSumMonitor(fleet);
        int member = fleet.random().nextInt(memberCount);
        fleet.kill(member);
        fleet.run(fleet.random().nextLong(300 * MS));
        Process restarted = fleet.start(member, 20 * MS);
        int[] deaths = {0};
        boolean[] knewRestart = new boolean[memberCount];
        Consumer<Process> previous = fleet.onEvent;
        fleet.onEvent = process -> {
            previous.accept(process);
            boolean alive = process != restarted
                    && process.statusOf(member) == MemberStatus.ALIVE
                    && process.membership.incarnation(member) >= restarted.startedMs;
            deaths[0] += knewRestart[process.memberId]
                            && process != restarted
                            && process.statusOf(member) == MemberStatus.DEAD
                    ? 1
                    : 0;
            knewRestart[process.memberId] |= alive;
        };
        long elapsedUs = fleet.runUntil(20 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        fleet.run(8 * SECOND);
        return new ForgedRefusals(
                deaths[0],
                quotas.highestSum,
                quotas.highestSumDescription,
                elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs,
                0);
    }

    /**
     * Starts a second process of a member, which ends soon. Returns the time until all members list each other as
     * alive, in microseconds.
     */
    static long failedUpgrade(long seed, int memberCount, long successorRunsUs) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int member = fleet.random().nextInt(memberCount);
        Process successor = fleet.start(member, 20 * MS);
        fleet.run(successorRunsUs);
        fleet.endProcess(successor);
        long elapsedUs = fleet.runUntil(20 * SECOND, () -> SimulationHelpers.allAlive(fleet) && fleet.digestsEqual());
        return elapsedUs < 0 ? SimulationHelpers.NEVER : elapsedUs;
    }
}
