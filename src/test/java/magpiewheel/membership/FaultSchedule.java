package magpiewheel.membership;

import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** Plays a list of faults over a fleet in simulated time. */
final class FaultSchedule {
    private static final long MS = SimFleet.MS;
    private static final long SECOND = SimFleet.SECOND;

    private FaultSchedule() {}

    /** Injects each fault at its time; returns the watch over the quotas. */
    static QuotaWatch injectFaults(Plan plan, List<InjectedFault> faults, long restMs) {
        SimFleet fleet = new SimFleet(plan);
        QuotaWatch quotas = new QuotaWatch(fleet);
        fleet.startAll();
        fleet.run(6 * SECOND);
        long last = 0;
        for (InjectedFault fault : faults) {
            fleet.in(fault.atMs() * MS, () -> inject(fleet, fault));
            last = Math.max(last, fault.atMs() + fault.forMs());
        }
        fleet.run((last + restMs) * MS);
        return quotas;
    }

    private static void inject(SimFleet fleet, InjectedFault fault) {
        int front = Math.floorMod(fault.front(), fleet.plan.fronts());
        int other = Math.floorMod(fault.other(), fleet.plan.fronts());
        Process process = fleet.of(front);
        switch (fault.kind()) {
            case KILL -> fleet.kill(front);
            case VANISH -> fleet.vanish(front);
            case RESTART -> restart(fleet, front, fault.forMs() * MS);
            case SECOND -> {
                if (process != null) {
                    fleet.start(front, 50 * MS);
                    fleet.in(fault.forMs() * MS, () -> fleet.end(process));
                }
            }
            case PAUSE -> fleet.pause(front, fault.forMs() * MS);
            case SPLIT -> splitTemporarily(fleet, fault);
            case HEAL -> fleet.links().heal();
            case MUTE -> {
                fleet.links().mute(front, true);
                fleet.in(fault.forMs() * MS, () -> fleet.links().mute(front, false));
            }
            case DEAF -> {
                fleet.links().deaf(front, true);
                fleet.in(fault.forMs() * MS, () -> fleet.links().deaf(front, false));
            }
            case ONE_WAY -> {
                fleet.links().oneWay(front, other, true);
                fleet.in(fault.forMs() * MS, () -> fleet.links().oneWay(front, other, false));
            }
            case LOSS -> {
                fleet.loss = 0.3;
                fleet.duplicated = 0.05;
                fleet.reordered = 0.1;
                fleet.in(fault.forMs() * MS, () -> fleet.loss = 0);
            }
            case HOLD -> {
                fleet.delayed = 0.05;
                fleet.longestDelayUs = Math.max(300, fault.forMs()) * MS;
                fleet.in(fault.forMs() * MS, () -> fleet.delayed = 0);
            }
            case LEAVE -> {
                if (process != null && !process.paused) {
                    process.membership.setDraining(process.clock(), fault.forMs() % 2 == 0);
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
        SplittableRandom random = new SplittableRandom(31L * fault.front() + fault.other());
        for (int i = 0; i < side.length; i++) {
            side[i] = random.nextInt(2 + Math.floorMod(fault.other(), 3));
        }
        fleet.links().split(side);
        fleet.in(fault.forMs() * MS, () -> fleet.links().split(new int[side.length]));
    }
}
