package magpiewheel.membership;

import magpiewheel.membership.SimulatedFleet.Process;

/** Records the highest sum of quotas, of the fleet and of each zone, after every event. */
final class QuotaSumMonitor {
    double highestSum;
    String highestSumDescription = "";

    private long nextCheckAt;

    QuotaSumMonitor(SimulatedFleet fleet) {
        fleet.onEvent = process -> {
            if (fleet.now >= nextCheckAt) {
                // In a small fleet after every event, in a large one every 10 ms.
                nextCheckAt = fleet.plan.memberCount() > 24 ? fleet.now + 10 * SimulatedFleet.MS : fleet.now;
                check(fleet);
            }
        };
    }

    void check(SimulatedFleet fleet) {
        for (int zone = -1; zone < fleet.plan.zoneCount(); zone++) {
            double sum = fleet.quotaSum(zone);
            if (!(sum <= highestSum)) {
                highestSum = sum;
                highestSumDescription = (zone < 0 ? "all" : "zone " + zone) + " at " + fleet.now / SimulatedFleet.MS
                        + " ms: " + describeShares(fleet, zone);
            }
        }
    }

    private static String describeShares(SimulatedFleet fleet, int zone) {
        StringBuilder shares = new StringBuilder();
        for (Process process : fleet.running()) {
            if (zone < 0 || fleet.zone(process.memberId) == zone) {
                shares.append(process.memberId)
                        .append(process.paused ? " (paused)" : "")
                        .append(" 1/")
                        .append(Math.round(1000 / (zone < 0 ? process.quota() : process.zoneQuota())) / 1000.0)
                        .append(", ");
            }
        }
        return shares.toString();
    }
}
