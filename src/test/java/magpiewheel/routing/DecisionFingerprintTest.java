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
        "1, 84713:d32f8be2e6f52c87",
        "2, 78723:9f37de5282436be0",
        "3, 81128:b7a6b4eaa180adb7",
        "4, 79275:d7c0534e0e31c89d",
        "5, 74730:f075c52b4b213c3c",
        "6, 81671:5534503b38bb4d29",
        "7, 78723:68232131b167afdd",
        "8, 71499:2c82c74432ada219",
        "9, 85301:14676d81c0221990",
        "10, 82295:8b5a986a0239a984",
        "11, 83332:97bf3b44af41e061",
        "12, 73708:0852b6729901d2c4"
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
