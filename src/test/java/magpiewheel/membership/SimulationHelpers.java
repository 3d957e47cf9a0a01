package magpiewheel.membership;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.membership.SimulatedFleet.Process;

/** Helpers shared by the scenarios of a simulated fleet. */
final class SimulationHelpers {
    /** Stands for the time of an event that did not happen, in microseconds. */
    static final long NEVER = 3_600 * SimulatedFleet.SECOND;

    private SimulationHelpers() {}

    static SimulatedFleet convergedFleet(Plan plan) {
        SimulatedFleet fleet = new SimulatedFleet(plan);
        long elapsedUs = fleet.converge(30 * SimulatedFleet.SECOND);
        if (elapsedUs < 0) {
            throw new AssertionError("views are not equal 30 s after the start, seed " + plan.seed());
        }
        return fleet;
    }

    static boolean allAlive(SimulatedFleet fleet) {
        List<Process> running = fleet.running();
        for (Process viewer : running) {
            for (Process seen : running) {
                if (viewer != seen && viewer.statusOf(seen.memberId) != MemberStatus.ALIVE) {
                    return false;
                }
            }
        }
        return true;
    }

    static boolean isListed(Process viewer, int member) {
        MemberStatus status = viewer.statusOf(member);
        return status != MemberStatus.DEAD
                && status != MemberStatus.LEFT
                && viewer.membership.runningMembers().contains(member);
    }

    static int countNewlyDead(Process viewer, boolean[] reportedDead) {
        int more = 0;
        for (int member = 0; member < reportedDead.length; member++) {
            boolean dead = member != viewer.memberId && viewer.statusOf(member) == MemberStatus.DEAD;
            if (dead && !reportedDead[member]) {
                more++;
            }
            reportedDead[member] = dead;
        }
        return more;
    }

    static List<Integer> shuffled(int memberCount, SplittableRandom random) {
        Integer[] order = new Integer[memberCount];
        Arrays.setAll(order, i -> i);
        for (int i = memberCount - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            Integer swap = order[i];
            order[i] = order[j];
            order[j] = swap;
        }
        return List.of(order);
    }

    /** Returns a percentile of sorted values. */
    static long percentile(List<Long> sorted, double share) {
        return sorted.get(Math.min(sorted.size() - 1, (int) Math.ceil(share * sorted.size()) - 1));
    }
}
