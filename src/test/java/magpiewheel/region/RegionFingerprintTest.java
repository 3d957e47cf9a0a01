package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares fingerprints of all messages and decisions of seeded regions. Renaming and restructuring must not change
 * them.
 */
class RegionFingerprintTest {
    private static final long SECOND_US = 1_000_000;

    @ParameterizedTest
    @CsvSource({
        "1, LED, 11976:a7e9453c433b4ca9, 30545:ab03d194c7bda932",
        "2, LED, 12476:15cbcc35fc180b17, 27340:20bcc934101c0ca0",
        "3, LED, 11372:c3fa538e70784c53, 27170:a6ef07bede9d4535",
        "4, PAIR_BY_OBJECT, 11480:0e0aa5eecf71af69, 30205:ed819bce0f8dfd83"
    })
    void messagesAndDecisionsOfFourZones(
            long seed, SimulatedRegions.SourcePolicy policy, String messages, String decisions) {
        SimulatedRegions world = new SimulatedRegions(seed, policy, 0.05, 4, 300);
        world.requestInAllZones(2 * SECOND_US, 20 * SECOND_US, 15_000, 40_000, 1);
        world.requestInOneZone(1, 5 * SECOND_US, 18 * SECOND_US, 8_000, 70);
        world.net.at(6 * SECOND_US, () -> world.parents.get(1L + seed % 4).hangs = true);
        world.net.at(8 * SECOND_US, () -> world.kill((int) (seed % SimulatedRegions.ROUTERS)));
        world.net.at(9 * SECOND_US, () -> drain(world, 1 + (seed + 1) % 4));
        world.net.at(11 * SECOND_US, () -> world.net.setBlocked(2, 5, true));
        world.net.at(15 * SECOND_US, world.net::heal);
        world.net.runUntil(22 * SECOND_US, () -> {});
        assertEquals(messages, world.net.messages.toString());
        assertEquals(decisions, world.decisions.toString());
    }

    private static void drain(SimulatedRegions world, long id) {
        SimulatedRegions.SimulatedParent parent = world.parents.get(id);
        Parent old = parent.entry;
        parent.entry = new Parent(id, old.hub(), old.linkCapacity(), old.transferCapacity(), old.startedUs(), true);
        world.publishParents();
    }
}
