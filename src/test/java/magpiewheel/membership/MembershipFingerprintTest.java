package magpiewheel.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import magpiewheel.membership.SimulatedFleet.Plan;
import magpiewheel.support.Fingerprint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Fingerprints of all messages, probes and views of seeded fleets, which changes that only rename or restructure code
 * must keep.
 */
class MembershipFingerprintTest {
    private static final long SECOND = SimulatedFleet.SECOND;

    @ParameterizedTest
    @CsvSource({
        "1, 6, true, 12835:3995c0efc77f5138",
        "2, 12, true, 38777:b2646a3a6606aeb9",
        "3, 12, false, 37143:6d384b9bbd0750f7",
        "4, 60, true, 371661:dc45f2729db57dd0",
        "5, 60, false, 365545:e66437bf14a1a822"
    })
    void fleetUnderFaults(long seed, int memberCount, boolean refusals, String fingerprint) {
        Plan plan = Plan.of(seed, memberCount);
        SimulatedFleet fleet = SimulationHelpers.convergedFleet(refusals ? plan : plan.withoutRefusals());
        fleet.lossRate = 0.05;
        fleet.duplicateRate = 0.02;
        fleet.reorderRate = 0.05;
        fleet.delayRate = 0.01;
        fleet.run(SECOND);
        fleet.kill(1);
        fleet.run(SECOND);
        fleet.processOf(2).membership.setDraining(fleet.processOf(2).clock(), true);
        fleet.run(SECOND);
        fleet.start(1, 300 * SimulatedFleet.MS);
        fleet.kill(4);
        fleet.kill(5);
        for (int i = 0; i < 20; i++) {
            fleet.run(SECOND / 4);
            addViews(fleet);
        }
        assertEquals(fingerprint, fleet.actions.toString());
    }

    private static void addViews(SimulatedFleet fleet) {
        Fingerprint fingerprint = fleet.actions;
        fleet.running().forEach(process -> {
            MembershipProtocol view = process.membership;
            fingerprint.add((long) view.verdict().ordinal()).add((long) view.digest());
            fingerprint.add(view.quotaDivisor(process.clock()));
            fingerprint.add(view.quotaDivisorIn(process.clock(), fleet.zone(process.memberId)));
            view.runningMembers()
                    .forEach(member -> fingerprint.add((long) member).add((long)
                            view.status(member).ordinal()));
            view.servingAddresses(fleet.zone(process.memberId)).forEach(address -> fingerprint.add((long) address));
        });
    }
}
