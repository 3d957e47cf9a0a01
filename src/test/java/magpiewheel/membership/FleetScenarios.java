package magpiewheel.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** Scenarios of a fleet in simulated time: each method plays one seed and returns a measurement, or fails. */
final class FleetScenarios {
    static final long MS = SimFleet.MS;
    static final long SECOND = SimFleet.SECOND;
    static final long NEVER = 3_600 * SECOND;

    private FleetScenarios() {}

    /** Messages and bytes that a front sends in a second once all views are equal. */
    record Rate(double messages, double bytes) {}

    static Rate rate(long seed, int fronts, long us) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(SECOND);
        long messages =
                fleet.running().stream().mapToLong(process -> process.messages).sum();
        long bytes =
                fleet.running().stream().mapToLong(process -> process.bytes).sum();
        fleet.run(us);
        double frontSeconds = (double) fronts * us / SECOND;
        return new Rate(
                (fleet.running().stream().mapToLong(process -> process.messages).sum() - messages) / frontSeconds,
                (fleet.running().stream().mapToLong(process -> process.bytes).sum() - bytes) / frontSeconds);
    }

    /** Messages and bytes that a front sends in a second at rest, and while all are restarted, a tenth at a time. */
    record RollingRestart(Rate rest, Rate rolling, long convergenceUs) {}

    static RollingRestart rollingRestart(long seed, int fronts, long beatUs, long stepUs) {
        SimFleet fleet = convergedFleet(new Plan(seed, fronts, 6, beatUs, false));
        fleet.run(10 * SECOND);
        long[] sent = {0, 0};
        fleet.onMessage = message -> {
            sent[0]++;
            sent[1] += message.length;
        };
        fleet.run(10 * SECOND);
        Rate rest = rate(sent, fronts, 10 * SECOND);
        sent[0] = 0;
        sent[1] = 0;
        List<Integer> order = shuffled(fronts, fleet.random());
        for (int i = 0; i < fronts; i++) {
            int front = order.get(i);
            long at = (long) (i * 10 / fronts) * stepUs;
            fleet.in(at, () -> leave(fleet.of(front)));
            fleet.in(at + 2 * SECOND, () -> fleet.kill(front));
            fleet.in(at + 2 * SECOND + 100 * MS, () -> fleet.start(front, 1_200 * MS));
        }
        fleet.run(10 * stepUs + 4 * SECOND);
        Rate rolling = rate(sent, fronts, 10 * stepUs + 4 * SECOND);
        fleet.onMessage = message -> {};
        return new RollingRestart(rest, rolling, fleet.until(30 * SECOND, fleet::converged));
    }

    private static Rate rate(long[] sent, int fronts, long us) {
        double frontSeconds = (double) fronts * us / SECOND;
        return new Rate(sent[0] / frontSeconds, sent[1] / frontSeconds);
    }

    private static void leave(Process process) {
        process.membership.setDraining(process.clock(), true);
    }

    static SimFleet convergedFleet(Plan plan) {
        SimFleet fleet = new SimFleet(plan);
        long took = fleet.converge(30 * SECOND);
        if (took < 0) {
            throw new AssertionError("views are not equal 30 s after the start, seed " + plan.seed());
        }
        return fleet;
    }

    /** How long it takes until all views are equal and complete after a start within half a second, us. */
    static long convergenceTime(long seed, int fronts) {
        long took = new SimFleet(Plan.of(seed, fronts)).converge(30 * SECOND);
        return took < 0 ? NEVER : took;
    }

    /** Kills fronts, one each so often; for each how long until it is out of every other view, us. */
    static List<Long> detectionTimes(long seed, int fronts, int kills, long everyUs, double loss, boolean refusals) {
        Plan plan = Plan.of(seed, fronts);
        SimFleet fleet = convergedFleet(refusals ? plan : plan.withoutRefusals());
        fleet.loss = loss;
        fleet.run(SECOND + fleet.random().nextLong(SimFleet.BEAT));
        List<Integer> order = shuffled(fronts, fleet.random());
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
                    took.add(NEVER);
                    open.remove(i);
                }
            }
        }
        Collections.sort(took);
        return took;
    }

    /** Kills so many fronts at once; for each how long until it is out of every other view, us. */
    static List<Long> simultaneousDetectionTimes(Plan plan, int kills, double loss) {
        SimFleet fleet = convergedFleet(plan);
        fleet.run(SECOND + fleet.random().nextLong(plan.beatUs()));
        fleet.loss = loss;
        long at = fleet.now;
        List<int[]> open = new ArrayList<>();
        for (int front : shuffled(plan.fronts(), fleet.random()).subList(0, kills)) {
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
        open.forEach(one -> took.add(NEVER));
        Collections.sort(took);
        return took;
    }

    /**
     * A filter that forges refusals of a front: deaths reported of it, the highest sum of quotas, and the time until
     * all are alive again, us.
     */
    record ForgedRefusals(int deaths, double highestQuotaSum, String where, long recoveryUs, int probes) {}

    /** For 3 s filters stand between a front and so many of its neighbours, and refuse their probes in its name. */
    static ForgedRefusals forgedRefusals(long seed, int fronts, int filters) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
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
            deaths[0] += newlyDead(process, reportedDead[process.front]);
        };
        long probes =
                fleet.running().stream().mapToLong(process -> process.probes).sum();
        neighbours.stream().filter(other -> other != front).limit(filters).forEach(other -> fleet.filter(other, front));
        fleet.run(3 * SECOND);
        probes = fleet.running().stream().mapToLong(process -> process.probes).sum() - probes;
        fleet.heal();
        long took = fleet.until(20 * SECOND, () -> allAlive(fleet));
        return new ForgedRefusals(deaths[0], quotas.highest, quotas.highestAt, took < 0 ? NEVER : took, (int) probes);
    }

    /** A front is killed and started again at once: the highest sum of quotas, and the time until all are alive, us. */
    static ForgedRefusals quickRestart(long seed, int fronts, double loss) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
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
        long took = fleet.until(20 * SECOND, () -> allAlive(fleet));
        fleet.run(8 * SECOND);
        return new ForgedRefusals(deaths[0], quotas.highest, quotas.highestAt, took < 0 ? NEVER : took, 0);
    }

    /** Probes that a front sends in a second while none is dead. */
    static double probesPerSecond(long seed, int fronts, double loss, long us) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(SECOND);
        fleet.loss = loss;
        long probes =
                fleet.running().stream().mapToLong(process -> process.probes).sum();
        fleet.run(us);
        return (fleet.running().stream().mapToLong(process -> process.probes).sum() - probes)
                * (double) SECOND
                / us
                / fronts;
    }

    /** Continues with the front that still listed it last time. */
    private static boolean outOfAll(SimFleet fleet, int[] one) {
        for (int looked = 0; looked < fleet.plan.fronts(); looked++) {
            Process viewer = fleet.of((one[2] + looked) % fleet.plan.fronts());
            if (viewer != null && listed(viewer, one[0])) {
                one[2] = viewer.front;
                return false;
            }
        }
        return true;
    }

    static boolean listed(Process viewer, int front) {
        MemberStatus status = viewer.of(front);
        return status != MemberStatus.DEAD
                && status != MemberStatus.LEFT
                && viewer.membership.runningMembers().contains(front);
    }

    /** Deaths reported of fronts that all run and are all connected. */
    static int falseDeaths(long seed, int fronts, double loss, long us) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.loss = loss;
        fleet.duplicated = 0.01;
        fleet.reordered = 0.02;
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> deaths[0] += newlyDead(process, reportedDead[process.front]);
        fleet.run(us);
        return deaths[0];
    }

    /** How often a front came to be suspected, of fronts that all run and are all connected. */
    static int suspicions(long seed, int fronts, double loss, long us) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
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

    private static int newlyDead(Process viewer, boolean[] reportedDead) {
        int more = 0;
        for (int front = 0; front < reportedDead.length; front++) {
            boolean dead = front != viewer.front && viewer.of(front) == MemberStatus.DEAD;
            if (dead && !reportedDead[front]) {
                more++;
            }
            reportedDead[front] = dead;
        }
        return more;
    }

    /** A cut of one direction: how long until the front knows that it is isolated, and the effect on others. */
    record OneWayCut(long isolatedUs, int falseDeaths, boolean othersIsolated, boolean othersComplete) {}

    static OneWayCut oneWayCut(long seed, int fronts, boolean deaf) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(2 * SECOND + fleet.random().nextLong(SECOND));
        int cut = fleet.random().nextInt(fronts);
        int[] deaths = {0};
        boolean[] othersIsolated = {false};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> {
            if (process.front != cut) {
                reportedDead[process.front][cut] = true;
                boolean[] before = reportedDead[process.front].clone();
                newlyDead(process, reportedDead[process.front]);
                for (int front = 0; front < fronts; front++) {
                    deaths[0] += front != cut && reportedDead[process.front][front] && !before[front] ? 1 : 0;
                }
                othersIsolated[0] |= process.membership.verdict() == PartitionVerdict.ISOLATED;
            }
        };
        if (deaf) {
            fleet.deaf(cut, true);
        } else {
            fleet.mute(cut, true);
        }
        long took = fleet.until(5 * SECOND, () -> fleet.of(cut).membership.verdict() == PartitionVerdict.ISOLATED);
        fleet.run(5 * SECOND);
        boolean othersComplete = fleet.running().stream()
                .allMatch(process -> process.front == cut || process.membership.verdict() == PartitionVerdict.COMPLETE);
        boolean stays = fleet.of(cut).membership.verdict() == PartitionVerdict.ISOLATED;
        return new OneWayCut(took < 0 || !stays ? NEVER : took, deaths[0], othersIsolated[0], othersComplete);
    }

    /** A pause: deaths reported of the paused front, or by it of others, and the time until all are alive again, us. */
    record Pause(int falseDeaths, long aliveUs) {}

    static Pause pause(long seed, int fronts, long us, double loss) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.loss = loss;
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int[] deaths = {0};
        boolean[][] reportedDead = new boolean[fronts][fronts];
        fleet.onEvent = process -> deaths[0] += newlyDead(process, reportedDead[process.front]);
        int paused = fleet.random().nextInt(fronts);
        fleet.pause(paused, us);
        fleet.run(us);
        long took = fleet.until(5 * SECOND, () -> allAlive(fleet));
        fleet.run(SECOND);
        return new Pause(deaths[0], took < 0 ? NEVER : took);
    }

    static boolean allAlive(SimFleet fleet) {
        List<Process> running = fleet.running();
        for (Process viewer : running) {
            for (Process seen : running) {
                if (viewer != seen && viewer.of(seen.front) != MemberStatus.ALIVE) {
                    return false;
                }
            }
        }
        return true;
    }

    /** A split: how long after healing all views are equal and all alive, us; deaths reported within a side. */
    record Split(long equalUs, long aliveUs, int deathsWithin) {}

    static Split split(long seed, int fronts, int sides, long us) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
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
                newlyDead(process, reportedDead[process.front]);
                for (int front = 0; front < fronts; front++) {
                    boolean fresh = reportedDead[process.front][front] && !before[front];
                    deaths[0] += fresh && side[front] == side[process.front] ? 1 : 0;
                }
            };
        }
        fleet.split(side);
        fleet.run(us);
        fleet.heal();
        long healed = fleet.now;
        long[] equal = {-1};
        long alive = fleet.until(20 * SECOND, () -> {
            equal[0] = !fleet.digestsEqual() ? -1 : equal[0] < 0 ? fleet.now - healed : equal[0];
            return equal[0] >= 0 && fleet.converged();
        });
        return new Split(equal[0] < 0 ? NEVER : equal[0], alive < 0 ? NEVER : alive, deaths[0]);
    }

    /**
     * A front announces that it leaves, and ends. As soon as one other knows, the fleet is split for a moment too short
     * for a death, so that only one side receives the repeated announcement; the time until all know, us.
     */
    static long missedLeave(long seed, int fronts) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts).withoutRefusals());
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int departed = fleet.random().nextInt(fronts);
        Process process = fleet.of(departed);
        process.membership.setDraining(process.clock(), true);
        fleet.until(
                SECOND,
                () -> fleet.running().stream()
                        .anyMatch(viewer -> viewer != process && viewer.of(departed) == MemberStatus.LEFT));
        int[] side = new int[fronts];
        for (int front : shuffled(fronts, fleet.random()).subList(0, fronts / 2)) {
            side[front] = fleet.of(front).of(departed) == MemberStatus.LEFT ? 0 : 1;
        }
        fleet.split(side);
        fleet.kill(departed);
        fleet.run(200 * MS);
        fleet.heal();
        long took = fleet.until(
                20 * SECOND,
                () -> fleet.digestsEqual()
                        && fleet.running().stream().allMatch(viewer -> viewer.of(departed) == MemberStatus.LEFT));
        return took < 0 ? NEVER : took;
    }

    /** The highest sum of quotas, how much the quota of the survivors grew in 4 s, and the sum after the recovery. */
    record MassFailure(double highestQuotaSum, double growth, double after) {}

    static MassFailure massFailure(long seed, int fronts) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(8 * SECOND);
        QuotaWatch quotas = new QuotaWatch(fleet);
        List<Integer> order = shuffled(fronts, fleet.random());
        int dead = fronts * 7 / 10;
        double before = fleet.of(order.get(dead)).quota();
        for (int front : order.subList(0, dead)) {
            fleet.kill(front);
        }
        fleet.run(4 * SECOND);
        double least = order.subList(dead, fronts).stream()
                .mapToDouble(front -> fleet.of(front).quota())
                .min()
                .orElse(0);
        fleet.run(fleet.random().nextLong(4 * SECOND));
        boolean atOnce = fleet.random().nextBoolean();
        for (int front : order.subList(0, dead)) {
            fleet.in(
                    atOnce ? fleet.random().nextLong(50 * MS) : fleet.random().nextLong(6 * SECOND),
                    () -> fleet.start(front, 100 * MS));
        }
        fleet.run(18 * SECOND);
        return new MassFailure(quotas.highest, least / before, fleet.quotaSum());
    }

    /** Checks the sums of all quotas after every event. */
    static final class QuotaWatch {
        double highest;
        String highestAt = "";

        private long next;

        QuotaWatch(SimFleet fleet) {
            fleet.onEvent = process -> {
                if (fleet.now >= next) {
                    // Every event of a small fleet, every 10 ms of a large one.
                    next = fleet.plan.fronts() > 24 ? fleet.now + 10 * MS : fleet.now;
                    check(fleet);
                }
            };
        }

        void check(SimFleet fleet) {
            for (int zone = -1; zone < fleet.plan.zones(); zone++) {
                double sum = fleet.quotaSum(zone);
                if (!(sum <= highest)) {
                    highest = sum;
                    highestAt = (zone < 0 ? "all" : "zone " + zone) + " at " + fleet.now / MS + " ms: "
                            + parts(fleet, zone);
                }
            }
        }

        private static String parts(SimFleet fleet, int zone) {
            StringBuilder parts = new StringBuilder();
            for (Process process : fleet.running()) {
                if (zone < 0 || fleet.zone(process.front) == zone) {
                    parts.append(process.front)
                            .append(process.paused ? " (paused)" : "")
                            .append(" 1/")
                            .append(Math.round(1000 / (zone < 0 ? process.quota() : process.zoneQuota())) / 1000.0)
                            .append(", ");
                }
            }
            return parts.toString();
        }
    }

    /** A fault that a schedule injects into a fleet. */
    record InjectedFault(Kind kind, long atMs, long forMs, int front, int other) {
        enum Kind {
            KILL,
            VANISH,
            RESTART,
            SECOND,
            PAUSE,
            SPLIT,
            HEAL,
            MUTE,
            DEAF,
            ONE_WAY,
            LOSS,
            HOLD,
            LEAVE
        }
    }

    /** Injects each fault at its time; returns the watch over the quotas. */
    static QuotaWatch injectFaults(Plan plan, List<InjectedFault> faults, long restMs) {
        SimFleet fleet = new SimFleet(plan);
        QuotaWatch quotas = new QuotaWatch(fleet);
        fleet.startAll();
        fleet.run(6 * SECOND);
        long last = 0;
        for (InjectedFault fault : faults) {
            fleet.in(fault.atMs * MS, () -> inject(fleet, fault));
            last = Math.max(last, fault.atMs + fault.forMs);
        }
        fleet.run((last + restMs) * MS);
        return quotas;
    }

    /**
     * An observer is paused between its probe (the first after the death, or a later one) and the answer, the dead
     * front returns, and the observer hears nothing for a while after it went on: what it reads then is an old refusal.
     */
    static QuotaWatch lateRefusal(long seed, int fronts, boolean early) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(6 * SECOND);
        int departed = fleet.random().nextInt(fronts);
        long pause = fleet.random().nextLong(500 * MS, 5 * SECOND);
        fleet.kill(departed);
        fleet.run(early ? 0 : 2 * SECOND + fleet.random().nextLong(SECOND));
        QuotaWatch quotas = new QuotaWatch(fleet);
        fleet.onProbe = (observer, at) -> {
            fleet.onProbe = (other, another) -> {};
            fleet.in(0, () -> fleet.pause(observer.front, pause));
            fleet.in(40 * MS, () -> {
                fleet.deaf(observer.front, true);
                fleet.start(departed, 50 * MS);
            });
        };
        fleet.run(12 * SECOND);
        fleet.heal();
        fleet.run(SECOND);
        return quotas;
    }

    /** An upgrade whose new process ends: the time until all that run list each other as alive, us. */
    static long failedUpgrade(long seed, int fronts, long successorRunsUs) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(6 * SECOND + fleet.random().nextLong(SECOND));
        int front = fleet.random().nextInt(fronts);
        Process successor = fleet.start(front, 20 * MS);
        fleet.run(successorRunsUs);
        fleet.end(successor);
        long took = fleet.until(20 * SECOND, () -> allAlive(fleet) && fleet.digestsEqual());
        return took < 0 ? NEVER : took;
    }

    private static void inject(SimFleet fleet, InjectedFault fault) {
        int front = Math.floorMod(fault.front, fleet.plan.fronts());
        int other = Math.floorMod(fault.other, fleet.plan.fronts());
        Process process = fleet.of(front);
        switch (fault.kind) {
            case KILL -> fleet.kill(front);
            case VANISH -> fleet.vanish(front);
            case RESTART -> restart(fleet, front, fault.forMs * MS);
            case SECOND -> {
                if (process != null) {
                    fleet.start(front, 50 * MS);
                    fleet.in(fault.forMs * MS, () -> fleet.end(process));
                }
            }
            case PAUSE -> fleet.pause(front, fault.forMs * MS);
            case SPLIT -> splitTemporarily(fleet, fault);
            case HEAL -> fleet.heal();
            case MUTE -> {
                fleet.mute(front, true);
                fleet.in(fault.forMs * MS, () -> fleet.mute(front, false));
            }
            case DEAF -> {
                fleet.deaf(front, true);
                fleet.in(fault.forMs * MS, () -> fleet.deaf(front, false));
            }
            case ONE_WAY -> {
                fleet.oneWay(front, other, true);
                fleet.in(fault.forMs * MS, () -> fleet.oneWay(front, other, false));
            }
            case LOSS -> {
                fleet.loss = 0.3;
                fleet.duplicated = 0.05;
                fleet.reordered = 0.1;
                fleet.in(fault.forMs * MS, () -> fleet.loss = 0);
            }
            case HOLD -> {
                fleet.delayed = 0.05;
                fleet.longestDelayUs = Math.max(300, fault.forMs) * MS;
                fleet.in(fault.forMs * MS, () -> fleet.delayed = 0);
            }
            case LEAVE -> {
                if (process != null && !process.paused) {
                    process.membership.setDraining(process.clock(), fault.forMs % 2 == 0);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    /** Kills a front and starts it again later, unless it runs by then. */
    private static void restart(SimFleet fleet, int front, long forUs) {
        fleet.kill(front);
        fleet.in(forUs, () -> {
            if (fleet.of(front) == null) {
                fleet.start(front, 50 * MS);
            }
        });
    }

    /** Splits the fleet into two to four sides for a while. */
    private static void splitTemporarily(SimFleet fleet, InjectedFault fault) {
        int[] side = new int[fleet.plan.fronts()];
        SplittableRandom random = new SplittableRandom(31L * fault.front + fault.other);
        for (int i = 0; i < side.length; i++) {
            side[i] = random.nextInt(2 + Math.floorMod(fault.other, 3));
        }
        fleet.split(side);
        fleet.in(fault.forMs * MS, () -> fleet.split(new int[side.length]));
    }

    /** Most changes of any verdict within 2 s, while a front's links are cut and opened faster than once a second. */
    static int flapping(long seed, int fronts) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
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
            fleet.deaf(cut, on && way != 1);
            fleet.mute(cut, on && way != 0);
            fleet.run(fleet.random().nextLong(250 * MS, 950 * MS));
        }
        fleet.heal();
        fleet.run(4 * SECOND);
        return most[0];
    }

    /** Messages that a returning front has received when it first knows all others. */
    static long messagesUntilRejoined(long seed, int fronts) {
        SimFleet fleet = convergedFleet(Plan.of(seed, fronts));
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int departed = fleet.random().nextInt(fronts);
        fleet.kill(departed);
        fleet.run(3 * SECOND);
        Process back = fleet.start(departed, 50 * MS);
        long[] got = {-1};
        fleet.onEvent = process -> {
            if (process == back && got[0] < 0) {
                for (Process other : fleet.running()) {
                    if (other != back
                            && (back.of(other.front) == MemberStatus.UNKNOWN
                                    || back.membership.zone(other.front) != fleet.zone(other.front))) {
                        return;
                    }
                }
                got[0] = back.received;
            }
        };
        fleet.run(5 * SECOND);
        return got[0] < 0 ? NEVER : got[0];
    }

    /** What the fleet's members send, each message once. */
    static List<byte[]> messages(SimFleet fleet, long us) {
        List<byte[]> messages = new ArrayList<>();
        fleet.onMessage = message -> messages.add(message.clone());
        fleet.kill(9);
        fleet.run(us);
        fleet.start(9, 20 * MS);
        fleet.run(us);
        fleet.onMessage = message -> {};
        return messages;
    }

    /** Other magic bytes and versions, garbage, truncated messages, and messages with trailing bytes. */
    static List<byte[]> malformed(byte[] message, SplittableRandom random) {
        List<byte[]> malformed = new ArrayList<>();
        malformed.add(new byte[0]);
        for (int at = 0; at < 2; at++) {
            byte[] another = message.clone();
            another[at] += (byte) (1 + random.nextInt(255));
            malformed.add(another);
        }
        for (int i = 0; i < 6; i++) {
            malformed.add(Arrays.copyOf(message, random.nextInt(message.length)));
            malformed.add(Arrays.copyOf(message, message.length + 1 + random.nextInt(40)));
            byte[] garbage = new byte[1 + random.nextInt(300)];
            random.nextBytes(garbage);
            malformed.add(garbage);
        }
        return malformed;
    }

    /** The complete state of a view as text. */
    static String describe(Process process) {
        StringBuilder all = new StringBuilder();
        MembershipProtocol view = process.membership;
        for (int front = 0; front < 10; front++) {
            all.append(view.status(front)).append(view.zone(front)).append(' ');
        }
        return all.append(view.verdict())
                .append(view.runningMembers())
                .append(view.servingAddresses(0))
                .append(view.digest())
                .append(' ')
                .append(view.quotaDivisor(process.clock()))
                .append(' ')
                .append(view.quotaDivisorIn(process.clock(), 0))
                .toString();
    }

    static List<Integer> shuffled(int fronts, SplittableRandom random) {
        Integer[] order = new Integer[fronts];
        Arrays.setAll(order, i -> i);
        for (int i = fronts - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            Integer swap = order[i];
            order[i] = order[j];
            order[j] = swap;
        }
        return List.of(order);
    }

    /** Of sorted values. */
    static long percentile(List<Long> sorted, double share) {
        return sorted.get(Math.min(sorted.size() - 1, (int) Math.ceil(share * sorted.size()) - 1));
    }
}
