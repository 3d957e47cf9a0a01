package magpiewheel.membership;

import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.membership.SimulatedFleet.Process;

/** Runs a list of faults against a fleet in simulated time. */
final class FaultSchedule {
    private static final long MS = SimulatedFleet.MS;
    private static final long SECOND = SimulatedFleet.SECOND;

    private FaultSchedule() {}

    /** Injects each fault at its time. Returns the monitor of the quota sums. */
    static QuotaSumMonitor injectFaults(Plan plan, List<InjectedFault> faults, long settleMs) {
        SimulatedFleet fleet = new SimulatedFleet(plan);
        QuotaSumMonitor quotas = new QuotaSumMonitor(fleet);
        fleet.startAll();
        fleet.run(6 * SECOND);
        long last = 0;
        for (InjectedFault fault : faults) {
            fleet.schedule(fault.atMs() * MS, () -> inject(fleet, fault));
            last = Math.max(last, fault.atMs() + fault.durationMs());
        }
        fleet.run((last + settleMs) * MS);
        return quotas;
    }

    private static void inject(SimulatedFleet fleet, InjectedFault fault) {
        int member = Math.floorMod(fault.memberId(), fleet.plan.memberCount());
        int otherMember = Math.floorMod(fault.otherMemberId(), fleet.plan.memberCount());
        Process process = fleet.processOf(member);
        switch (fault.kind()) {
            case KILL -> fleet.kill(member);
            case MACHINE_FAILURE -> fleet.failMachine(member);
            case RESTART -> restart(fleet, member, fault.durationMs() * MS);
            case SECOND_PROCESS -> {
                if (process != null) {
                    fleet.start(member, 50 * MS);
                    fleet.schedule(fault.durationMs() * MS, () -> fleet.endProcess(process));
                }
            }
            case PAUSE -> fleet.pause(member, fault.durationMs() * MS);
            case SPLIT -> splitTemporarily(fleet, fault);
            case HEAL -> fleet.links().heal();
            case OUTBOUND_CUT -> {
                fleet.links().setOutboundCut(member, true);
                fleet.schedule(fault.durationMs() * MS, () -> fleet.links().setOutboundCut(member, false));
            }
            case INBOUND_CUT -> {
                fleet.links().setInboundCut(member, true);
                fleet.schedule(fault.durationMs() * MS, () -> fleet.links().setInboundCut(member, false));
            }
            case ONE_WAY_CUT -> {
                fleet.links().setOneWayCut(member, otherMember, true);
                fleet.schedule(fault.durationMs() * MS, () -> fleet.links().setOneWayCut(member, otherMember, false));
            }
            case LOSS -> {
                fleet.lossRate = 0.3;
                fleet.duplicateRate = 0.05;
                fleet.reorderRate = 0.1;
                fleet.schedule(fault.durationMs() * MS, () -> fleet.lossRate = 0);
            }
            case DELAY -> {
                fleet.delayRate = 0.05;
                fleet.maxDelayUs = Math.max(300, fault.durationMs()) * MS;
                fleet.schedule(fault.durationMs() * MS, () -> fleet.delayRate = 0);
            }
            case DRAIN -> {
                if (process != null && !process.paused) {
                    process.membership.setDraining(process.clock(), fault.durationMs() % 2 == 0);
                }
            }
            default -> throw new IllegalStateException("unexpected fault " + fault.kind());
        }
    }

    /** Kills a member and starts it again after a delay, unless another process of it runs by then. */
    private static void restart(SimulatedFleet fleet, int member, long delayUs) {
        fleet.kill(member);
        fleet.schedule(delayUs, () -> {
            if (fleet.processOf(member) == null) {
                fleet.start(member, 50 * MS);
            }
        });
    }

    /** Splits the fleet into two to four sides for the duration of the fault. */
    private static void splitTemporarily(SimulatedFleet fleet, InjectedFault fault) {
        int[] side = new int[fleet.plan.memberCount()];
        SplittableRandom random = new SplittableRandom(31L * fault.memberId() + fault.otherMemberId());
        for (int i = 0; i < side.length; i++) {
            side[i] = random.nextInt(2 + Math.floorMod(fault.otherMemberId(), 3));
        }
        fleet.links().split(side);
        fleet.schedule(fault.durationMs() * MS, () -> fleet.links().split(new int[side.length]));
    }
}
