package magpiewheel.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import magpiewheel.membership.SimFleet.Plan;
import magpiewheel.support.Fingerprint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fingerprints of all messages, probes and views of seeded fleets; a change of names and shape leaves them alone. */
class MembershipFingerprintTest {
    private static final long SECOND = SimFleet.SECOND;

    @ParameterizedTest
    @CsvSource({
        "1, 6, true, 12835:3995c0efc77f5138",
        "2, 12, true, 38777:b2646a3a6606aeb9",
        "3, 12, false, 37143:6d384b9bbd0750f7",
        "4, 60, true, 371661:dc45f2729db57dd0",
        "5, 60, false, 365545:e66437bf14a1a822"
    })
    void fleetUnderFaults(long seed, int fronts, boolean refusals, String fingerprint) {
        Plan plan = Plan.of(seed, fronts);
        SimFleet fleet = SimulationHelpers.convergedFleet(refusals ? plan : plan.withoutRefusals());
        fleet.loss = 0.05;
        fleet.duplicated = 0.02;
        fleet.reordered = 0.05;
        fleet.delayed = 0.01;
        fleet.run(SECOND);
        fleet.kill(1);
        fleet.run(SECOND);
        fleet.of(2).membership.setDraining(fleet.of(2).clock(), true);
        fleet.run(SECOND);
        fleet.start(1, 300 * SimFleet.MS);
        fleet.kill(4);
        fleet.kill(5);
        for (int i = 0; i < 20; i++) {
            fleet.run(SECOND / 4);
            views(fleet);
        }
        assertEquals(fingerprint, fleet.actions.toString());
    }

    private static void views(SimFleet fleet) {
        Fingerprint all = fleet.actions;
        fleet.running().forEach(process -> {
            MembershipProtocol view = process.membership;
            all.add((long) view.verdict().ordinal()).add((long) view.digest());
            all.add(view.quotaDivisor(process.clock()));
            all.add(view.quotaDivisorIn(process.clock(), fleet.zone(process.front)));
            view.runningMembers()
                    .forEach(front ->
                            all.add((long) front).add((long) view.status(front).ordinal()));
            view.servingAddresses(fleet.zone(process.front)).forEach(address -> all.add((long) address));
        });
    }
}
