package magpiewheel.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** Failures, pauses and restarts in simulated time: each method plays one seed and returns a measurement. */
final class FailureDetectionScenarios {
    private static final long MS = SimFleet.MS;
    private static final long SECOND = SimFleet.SECOND;

    private FailureDetectionScenarios() {}

    /** How long it takes until all views are equal and complete after a start within half a second, us. */
    static long convergenceTime(long seed, int fronts) {
        long took = new SimFleet(Plan.of(seed, fronts)).converge(30 * SECOND);
        return took < 0 ? SimulationHelpers.NEVER : took;
    }

    /** Kills fronts, one each so often; for each how long until it is out of every other view, us. */
    static List<Long> detectionTimes(long seed, int fronts, int kills, long everyUs, double loss, boolean refusals) {
        Plan plan = Plan.of(seed, fronts);
        SimFleet fleet = SimulationHelpers.convergedFleet(refusals ? plan : plan.withoutRefusals());
        fleet.loss = loss;
        fleet.run(SECOND + fleet.random().nextLong(SimFleet.BEAT));
        List<Integer> order = SimulationHelpers.shuffled(fronts, fleet.random());
        List<Long> took = new ArrayList<>();
        List<int[]> open = new ArrayList<>();
        long[] at = new long[kills];
        long nextKill = fleet.now;
        int killed = 0;
        while (killed < kills || !open.isEmpty()) {
            if (killed < kills && fleet.now >= nextKill) {
                fleet.kill(order.get(killed));
                at[killed] = fleet.now;
                open.add(new int[] {order.get(killed), killed, 0});
                killed++;
                nextKill = fleet.now + everyUs;
            }
            fleet.run(5 * MS);
            for (int i = open.size() - 1; i >= 0; i--) {
                int[] one = open.get(i);
                if (outOfAll(fleet, one)) {
                    took.add(fleet.now - at[one[1]]);
                    open.remove(i);
                } else if (fleet.now - at[one[1]] > 20 * SECOND) {
                    took.add(SimulationHelpers.NEVER);
                    open.remove(i);
                }
            }
        }
        Collections.sort(took);
        return took;
    }

    /** Kills so many fronts at once; for each how long until it is out of every other view, us. */
    static List<Long> simultaneousDetectionTimes(Plan plan, int kills, double loss) {
        SimFleet fleet = SimulationHelpers.convergedFleet(plan);
        fleet.run(SECOND + fleet.random().nextLong(plan.beatUs()));
        fleet.loss = loss;
        long at = fleet.now;
        List<int[]> open = new ArrayList<>();
        for (int front :
                SimulationHelpers.shuffled(plan.fronts(), fleet.random()).subList(0, kills)) {
            fleet.kill(front);
            open.add(new int[] {front, 0, 0});
        }
        List<Long> took = new ArrayList<>();
        while (!open.isEmpty() && fleet.now - at < 20 * SECOND) {
            fleet.run(5 * MS);
            for (int i = open.size() - 1; i >= 0; i--) {
                if (outOfAll(fleet, open.get(i))) {
                    took.add(fleet.now - at);
                    open.remove(i);
                }
            }
        }
        open.forEach(one -> took.add(SimulationHelpers.NEVER));
        Collections.sort(took);
        return took;
    }

    /** Continues with the front that still listed it last time. */
    private static boolean outOfAll(SimFleet fleet, int[] one) {
        for (int looked = 0; looked < fleet.plan.fronts(); looked++) {
            Process viewer = fleet.of((one[2] + looked) % fleet.plan.fronts());
            if (viewer != null && SimulationHelpers.listed(viewer, one[0])) {
                one[2] = viewer.front;
                return false;
            }
        }
        return true;
    }

    /** Deaths reported of fronts that all run and are all connected. */
    static int falseDeaths(long seed, int fronts, double loss, long us) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.loss = loss;
        fleet.duplicated = 0.01;
        fleet.reordered = 0.02;
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> deaths[0] += SimulationHelpers.newlyDead(process, reportedDead[process.front]);
        fleet.run(us);
        return deaths[0];
    }

    /** How often a front came to be suspected, of fronts that all run and are all connected. */
    static int suspicions(long seed, int fronts, double loss, long us) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(SECOND);
        fleet.loss = loss;
        int[] suspicions = {0};
        int[] suspecters = new int[fronts];
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> {
            for (int front = 0; front < fronts; front++) {
                boolean suspect = front != process.front && process.of(front) == MemberStatus.SUSPECT;
                if (suspect != reportedDead[process.front][front]) {
                    reportedDead[process.front][front] = suspect;
                    suspicions[0] += suspect && suspecters[front] == 0 ? 1 : 0;
                    suspecters[front] += suspect ? 1 : -1;
                }
            }
        };
        fleet.run(us);
        return suspicions[0];
    }

    /** A pause: deaths reported of the paused front, or by it of others, and the time until all are alive again, us. */
    record Pause(int falseDeaths, long aliveUs) {}

    static Pause pause(long seed, int fronts, long us, double loss) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.loss = loss;
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> deaths[0] += SimulationHelpers.newlyDead(process, reportedDead[process.front]);
        int paused = fleet.random().nextInt(fronts);
        fleet.pause(paused, us);
        fleet.run(us);
        long took = fleet.until(5 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        fleet.run(SECOND);
        return new Pause(deaths[0], took < 0 ? SimulationHelpers.NEVER : took);
    }

    /**
     * A filter that forges refusals of a front: deaths reported of it, the highest sum of quotas, and the time until
     * all are alive again, us.
     */
    record ForgedRefusals(int deaths, double highestQuotaSum, String where, long recoveryUs, int probes) {}

    /** For 3 s filters stand between a front and so many of its neighbours, and refuse their probes in its name. */
    static ForgedRefusals forgedRefusals(long seed, int fronts, int filters) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(8 * SECOND);
        int front = fleet.random().nextInt(fronts);
        List<Integer> neighbours =
                List.copyOf(new ObserverRings(fronts).observersOf(front, other -> true, other -> false));
        QuotaWatch quotas = new QuotaWatch(fleet);
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        Consumer<Process> previous = fleet.onEvent;
        fleet.onEvent = process -> {
            previous.accept(process);
            deaths[0] += SimulationHelpers.newlyDead(process, reportedDead[process.front]);
        };
        long probes =
                fleet.running().stream().mapToLong(process -> process.probes).sum();
        neighbours.stream()
                .filter(other -> other != front)
                .limit(filters)
                .forEach(other -> fleet.links().filter(other, front));
        fleet.run(3 * SECOND);
        probes = fleet.running().stream().mapToLong(process -> process.probes).sum() - probes;
        fleet.links().heal();
        long took = fleet.until(20 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        return new ForgedRefusals(
                deaths[0], quotas.highest, quotas.highestAt, took < 0 ? SimulationHelpers.NEVER : took, (int) probes);
    }

    /** A front is killed and started again at once: the highest sum of quotas, and the time until all are alive, us. */
    static ForgedRefusals quickRestart(long seed, int fronts, double loss) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(8 * SECOND);
        fleet.loss = loss;
        QuotaWatch quotas = new QuotaWatch(fleet);
        int front = fleet.random().nextInt(fronts);
        fleet.kill(front);
        fleet.run(fleet.random().nextLong(300 * MS));
        Process again = fleet.start(front, 20 * MS);
        int[] deaths = {0};
        boolean[] knew = new boolean[fronts];
        Consumer<Process> previous = fleet.onEvent;
        fleet.onEvent = process -> {
            previous.accept(process);
            boolean alive = process != again
                    && process.of(front) == MemberStatus.ALIVE
                    && process.membership.incarnation(front) >= again.startedMs;
            deaths[0] += knew[process.front] && process != again && process.of(front) == MemberStatus.DEAD ? 1 : 0;
            knew[process.front] |= alive;
        };
        long took = fleet.until(20 * SECOND, () -> SimulationHelpers.allAlive(fleet));
        fleet.run(8 * SECOND);
        return new ForgedRefusals(
                deaths[0], quotas.highest, quotas.highestAt, took < 0 ? SimulationHelpers.NEVER : took, 0);
    }

    /** An upgrade whose new process ends: the time until all that run list each other as alive, us. */
    static long failedUpgrade(long seed, int fronts, long successorRunsUs) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int front = fleet.random().nextInt(fronts);
        Process successor = fleet.start(front, 20 * MS);
        fleet.run(successorRunsUs);
        fleet.end(successor);
        long took = fleet.until(20 * SECOND, () -> SimulationHelpers.allAlive(fleet) && fleet.digestsEqual());
        return took < 0 ? SimulationHelpers.NEVER : took;
    }
}
