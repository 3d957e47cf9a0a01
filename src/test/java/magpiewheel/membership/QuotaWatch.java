package magpiewheel.membership;

import magpiewheel.membership.SimFleet.Process;

/** Checks the sums of all quotas after every event. */
final class QuotaWatch {
    double highest;
    String highestAt = "";

    private long next;

    QuotaWatch(SimFleet fleet) {
        fleet.onEvent = process -> {
            if (fleet.now >= next) {
                // Every event of a small fleet, every 10 ms of a large one.
                next = fleet.plan.fronts() > 24 ? fleet.now + 10 * SimFleet.MS : fleet.now;
                check(fleet);
            }
        };
    }

    void check(SimFleet fleet) {
        for (int zone = -1; zone < fleet.plan.zones(); zone++) {
            double sum = fleet.quotaSum(zone);
            if (!(sum <= highest)) {
                highest = sum;
                highestAt = (zone < 0 ? "all" : "zone " + zone) + " at " + fleet.now / SimFleet.MS + " ms: "
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
