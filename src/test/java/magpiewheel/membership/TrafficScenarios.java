package magpiewheel.membership;

import java.util.List;
import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.membership.SimulatedFleet.Process;

/** Traffic of a fleet in simulated time. Each method runs one seed and returns a measurement. */
final class TrafficScenarios {
    private static final long MS = SimulatedFleet.MS;
    private static final long SECOND = SimulatedFleet.SECOND;

    private TrafficScenarios() {}

    /** Messages and bytes that a member sends per second once all views are equal. */
    record Rate(double messages, double bytes) {}

    static Rate rate(long seed, int memberCount, long us) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(SECOND);
        long messages =
                fleet.running().stream().mapToLong(process -> process.messages).sum();
        long bytes =
                fleet.running().stream().mapToLong(process -> process.bytes).sum();
        fleet.run(us);
        double memberSeconds = (double) memberCount * us / SECOND;
        return new Rate(
                (fleet.running().stream().mapToLong(process -> process.messages).sum() - messages) / memberSeconds,
                (fleet.running().stream().mapToLong(process -> process.bytes).sum() - bytes) / memberSeconds);
    }

    /**
     * Messages and bytes that a member sends per second at rest and while all are restarted, a tenth at a time, and the
     * time until the views converge after that, in microseconds.
     */
    record RollingRestart(Rate rest, Rate rolling, long convergenceUs) {}

    static RollingRestart rollingRestart(long seed, int memberCount, long heartbeatUs, long stepUs) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(new Plan(seed, memberCount, 6, heartbeatUs, false));
        fleet.run(10 * SECOND);
        long[] sent = {0, 0};
        fleet.onMessage = message -> {
            sent[0]++;
            sent[1] += message.length;
        };
        fleet.run(10 * SECOND);
        Rate rest = rate(sent, memberCount, 10 * SECOND);
        sent[0] = 0;
        sent[1] = 0;
        List<Integer> order = SimulationHelpers.shuffled(memberCount, fleet.random());
        for (int i = 0; i < memberCount; i++) {
            int member = order.get(i);
            long at = (long) (i * 10 / memberCount) * stepUs;
            fleet.schedule(at, () -> leave(fleet.processOf(member)));
            fleet.schedule(at + 2 * SECOND, () -> fleet.kill(member));
            fleet.schedule(at + 2 * SECOND + 100 * MS, () -> fleet.start(member, 1_200 * MS));
        }
        fleet.run(10 * stepUs + 4 * SECOND);
        Rate rolling = rate(sent, memberCount, 10 * stepUs + 4 * SECOND);
        fleet.onMessage = message -> {};
        return new RollingRestart(rest, rolling, fleet.runUntil(30 * SECOND, fleet::converged));
    }

    private static Rate rate(long[] sent, int memberCount, long us) {
        double memberSeconds = (double) memberCount * us / SECOND;
        return new Rate(sent[0] / memberSeconds, sent[1] / memberSeconds);
    }

    private static void leave(Process process) {
        process.membership.setDraining(process.clock(), true);
    }

    /** Returns the probes that a member sends per second while no member is dead. */
    static double probesPerSecond(long seed, int memberCount, double loss, long us) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(SECOND);
        fleet.lossRate = loss;
        long probes =
                fleet.running().stream().mapToLong(process -> process.probes).sum();
        fleet.run(us);
        return (fleet.running().stream().mapToLong(process -> process.probes).sum() - probes)
                * (double) SECOND
                / us
                / memberCount;
    }

    /** Returns the number of messages that a returning member has received when it first knows all others. */
    static long messagesUntilRejoined(long seed, int memberCount) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(SECOND + fleet.random().nextLong(SECOND));
        int memberId = fleet.random().nextInt(memberCount);
        fleet.kill(memberId);
        fleet.run(3 * SECOND);
        Process rejoined = fleet.start(memberId, 50 * MS);
        long[] messagesReceived = {-1};
        fleet.onEvent = process -> {
            if (process == rejoined && messagesReceived[0] < 0) {
                for (Process other : fleet.running()) {
                    if (other != rejoined
                            && (rejoined.statusOf(other.memberId) == MemberStatus.UNKNOWN
                                    || rejoined.membership.zone(other.memberId) != fleet.zone(other.memberId))) {
                        return;
                    }
                }
                messagesReceived[0] = rejoined.received;
            }
        };
        fleet.run(5 * SECOND);
        return messagesReceived[0] < 0 ? SimulationHelpers.NEVER : messagesReceived[0];
    }
}
