package magpiewheel.membership;

import java.util.List;
import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.membership.SimFleet.Process;

/** What a fleet in simulated time sends: each method plays one seed and returns a measurement. */
final class TrafficScenarios {
    private static final long MS = SimFleet.MS;
    private static final long SECOND = SimFleet.SECOND;

    private TrafficScenarios() {}

    /** Messages and bytes that a front sends in a second once all views are equal. */
    record Rate(double messages, double bytes) {}

    static Rate rate(long seed, int fronts, long us) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
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
        SimFleet fleet = SimulationHelpers.convergedFleet(new Plan(seed, fronts, 6, beatUs, false));
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
        List<Integer> order = SimulationHelpers.shuffled(fronts, fleet.random());
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

    /** Probes that a front sends in a second while none is dead. */
    static double probesPerSecond(long seed, int fronts, double loss, long us) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
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

    /** Messages that a returning front has received when it first knows all others. */
    static long messagesUntilRejoined(long seed, int fronts) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
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
        return got[0] < 0 ? SimulationHelpers.NEVER : got[0];
    }
}
