package magpiewheel.membership;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** Helpers that the scenarios of a simulated fleet share. */
final class SimulationHelpers {
    /** us; stands for an event that did not happen. */
    static final long NEVER = 3_600 * SimFleet.SECOND;

    private SimulationHelpers() {}

    static SimFleet convergedFleet(Plan plan) {
        SimFleet fleet = new SimFleet(plan);
        long took = fleet.converge(30 * SimFleet.SECOND);
        if (took < 0) {
            throw new AssertionError("views are not equal 30 s after the start, seed " + plan.seed());
        }
        return fleet;
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

    static boolean listed(Process viewer, int front) {
        MemberStatus status = viewer.of(front);
        return status != MemberStatus.DEAD
                && status != MemberStatus.LEFT
                && viewer.membership.runningMembers().contains(front);
    }

    static int newlyDead(Process viewer, boolean[] reportedDead) {
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
