package magpiewheel.membership;

import java.util.List;
import magpiewheel.membership.SimulatedFleet.Plan;

/** Effects of failures on the quotas of the running members. Each method runs one seed. */
final class QuotaScenarios {
    private static final long MS = SimulatedFleet.MS;
    private static final long SECOND = SimulatedFleet.SECOND;

    private QuotaScenarios() {}

    /**
     * The highest sum of quotas, the factor by which the smallest quota of a survivor grew in 4 s, and the sum of
     * quotas after the recovery.
     */
    record MassFailure(double highestQuotaSum, double growth, double finalQuotaSum) {}

    static MassFailure massFailure(long seed, int memberCount) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(8 * SECOND);
        QuotaSumMonitor quotas = new QuotaSumMonitor(fleet);
        List<Integer> order = SimulationHelpers.shuffled(memberCount, fleet.random());
        int deadCount = memberCount * 7 / 10;
        double quotaBefore = fleet.processOf(order.get(deadCount)).quota();
        for (int member : order.subList(0, deadCount)) {
            fleet.kill(member);
        }
        fleet.run(4 * SECOND);
        double lowestQuota = order.subList(deadCount, memberCount).stream()
                .mapToDouble(member -> fleet.processOf(member).quota())
                .min()
                .orElse(0);
        fleet.run(fleet.random().nextLong(4 * SECOND));
        boolean atOnce = fleet.random().nextBoolean();
        for (int member : order.subList(0, deadCount)) {
            fleet.schedule(
                    atOnce ? fleet.random().nextLong(50 * MS) : fleet.random().nextLong(6 * SECOND),
                    () -> fleet.start(member, 100 * MS));
        }
        fleet.run(18 * SECOND);
        return new MassFailure(quotas.highestSum, lowestQuota / quotaBefore, fleet.quotaSum());
    }

    /**
     * An observer is paused between its probe (the first after the death, or a later one) and the answer. The dead
     * member restarts meanwhile, and the observer receives no datagrams for a while after it resumes, so that the
     * refusal it then reads is out of date.
     */
    static QuotaSumMonitor lateRefusal(long seed, int memberCount, boolean firstProbe) {
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, memberCount));
        fleet.run(6 * SECOND);
        int killedMember = fleet.random().nextInt(memberCount);
        long pauseUs = fleet.random().nextLong(500 * MS, 5 * SECOND);
        fleet.kill(killedMember);
        fleet.run(firstProbe ? 0 : 2 * SECOND + fleet.random().nextLong(SECOND));
        QuotaSumMonitor quotas = new QuotaSumMonitor(fleet);
        fleet.onProbe = (observer, at) -> {
            fleet.onProbe = (other, another) -> {};
            fleet.schedule(0, () -> fleet.pause(observer.memberId, pauseUs));
            fleet.schedule(40 * MS, () -> {
                fleet.links().setInboundCut(observer.memberId, true);
                fleet.start(killedMember, 50 * MS);
            });
        };
        fleet.run(12 * SECOND);
        fleet.links().heal();
        fleet.run(SECOND);
        return quotas;
    }
}
