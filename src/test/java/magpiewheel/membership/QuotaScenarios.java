package magpiewheel.membership;

import java.util.List;
import magpiewheel.membership.SimFleet.Plan;

/** Effects on the quotas of the running fronts: each method plays one seed. */
final class QuotaScenarios {
    private static final long MS = SimFleet.MS;
    private static final long SECOND = SimFleet.SECOND;

    private QuotaScenarios() {}

    /** The highest sum of quotas, how much the quota of the survivors grew in 4 s, and the sum after the recovery. */
    record MassFailure(double highestQuotaSum, double growth, double after) {}

    static MassFailure massFailure(long seed, int fronts) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
        fleet.run(8 * SECOND);
        QuotaWatch quotas = new QuotaWatch(fleet);
        List<Integer> order = SimulationHelpers.shuffled(fronts, fleet.random());
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

    /**
     * An observer is paused between its probe (the first after the death, or a later one) and the answer, the dead
     * front returns, and the observer hears nothing for a while after it went on: what it reads then is an old refusal.
     */
    static QuotaWatch lateRefusal(long seed, int fronts, boolean early) {
        SimFleet fleet = SimulationHelpers.convergedFleet(Plan.of(seed, fronts));
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
                fleet.links().deaf(observer.front, true);
                fleet.start(departed, 50 * MS);
            });
        };
        fleet.run(12 * SECOND);
        fleet.links().heal();
        fleet.run(SECOND);
        return quotas;
    }
}
