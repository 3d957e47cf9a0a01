package magpiewheel.routing;

import static magpiewheel.routing.WarmingFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Fingerprints of every action of seeded simulations. Refactoring must not change them; a change of behaviour changes
 * them, and its commit says why.
 */
class DecisionFingerprintTest {
    private static final int EVENTS = 6_000;

    @ParameterizedTest
    @CsvSource({
        "1, 84728:c15161b7056f118f",
        "2, 80547:803e154b45a17610",
        "3, 80448:7df2477dad756f83",
        "4, 76598:802e1eff48cd770e",
        "5, 76856:01a297566a77edb5",
        "6, 81637:13689933c4743c18",
        "7, 80056:c937cb00b858ba7a",
        "8, 71890:3cd1683d40c07a2f",
        "9, 85077:f7cda5c5621806b3",
        "10, 81998:99ca0e9ed337585c",
        "11, 82843:8b219f8884001bfd",
        "12, 65437:91518be0186c4091"
    })
    void randomEventsWithRegionsAndBoundedReads(long seed, String expected) {
        assertEquals(expected, new RandomEvents(seed).run(EVENTS).toString());
    }

    @ParameterizedTest
    @CsvSource({
        "true, true, 99515:72f7a8b577e62b0b",
        "true, false, 109530:2859671cd732d8c9",
        "false, true, 91940:8d51333a16842ce8",
        "false, false, 102010:a83ed0bcc03f35be"
    })
    void eightRoutersInFourZones(boolean regions, boolean joins, String expected) {
        RegionalFleetWorld world = new RegionalFleetWorld(5, regions, 4, 40, joins);
        world.scheduleRequests(0, 9 * SECOND, 50 * RegionalFleetWorld.MS, 20 * RegionalFleetWorld.MS);
        world.net.at(4 * SECOND, () -> world.hang(RegionalFleetWorld.PARENT_ID_OFFSET + 1));
        world.net.at(
                6 * SECOND, () -> world.changeState(RegionalFleetWorld.PARENT_ID_OFFSET + 2, EndpointState.DRAINING));
        world.runTo(10 * SECOND);
        assertEquals(expected, world.actions.toString());
    }

    @ParameterizedTest
    @CsvSource({"1, 20, 100435:dde8951db726986d", "101, 20, 100435:2165c63e2d7a0f74", "1, 30, 164080:969067aca9fb88bf"})
    void fleetWithAWarmingEndpoint(long warmingEndpoint, int routers, String expected) {
        WarmingFleet.Scenario scenario = WarmingFleet.Scenario.of(3, routers, warmingEndpoint)
                .withRouterRestarts()
                .withEndpointWeight(6);
        WarmingFleet fleet = new WarmingFleet(scenario).run(5 * SECOND, 10);
        assertEquals(expected, fleet.actions.toString());
    }

    @Test
    void oneRouterUnderMixedEvents() {
        DesignWorld world = new DesignWorld();
        IntStream.rangeClosed(1, 6).forEach(cache -> world.changeEndpoint(cache, EndpointState.READY, 0));
        world.changeEndpoint(101, EndpointState.READY, 0);
        world.changeEndpoint(102, EndpointState.READY, 0);
        world.changeEndpoint(DesignWorld.ORIGIN, EndpointState.READY, 0);
        world.discoverRouter(1);
        world.discoverRouter(2);
        world.select(200);
        world.scan(300, DesignWorld.object("B"), 3);
        world.receiveHolderHint(1, world.nowUs, 4, DesignWorld.object("C"), 200 * DesignWorld.MS);
        world.receiveEndpointLoad(2, 4, 30);
        world.read(DesignWorld.object("C"));
        world.complete(AttemptResult.UNREACHABLE, CacheStatus.UNKNOWN);
        world.complete(AttemptResult.OK, CacheStatus.FILLED);
        world.purge(DesignWorld.object("B"), true, 100 * DesignWorld.MS);
        world.readWithLocalCopy(DesignWorld.object("B"), 2 * DesignWorld.SECOND);
        world.write(DesignWorld.object("D"), true);
        world.complete(AttemptResult.CONNECTION_LOST, CacheStatus.UNKNOWN);
        world.completeFills(12, 101, 900 * DesignWorld.MS);
        world.select(LongStream.rangeClosed(1, 60).map(i -> 20_000 + i).toArray());
        world.requestSelectedAtOnce();
        world.changeEndpoint(3, EndpointState.DRAINING, 0);
        world.changeEndpoint(7, EndpointState.READY, world.nowUs);
        world.select(100);
        world.advance(3 * DesignWorld.SECOND);
        assertEquals("22683:f769fe633ce66147", world.fingerprint.toString());
    }
}
