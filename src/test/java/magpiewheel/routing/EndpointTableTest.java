package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
    private static final long NOW = 1_000_000_000;
    private static final long WINDOW_US = 2_000_000;
    private final EndpointTable table = new EndpointTable(
            RouterTopology.builder(0, 2, 0).parentKind(1).originKind(2).build(), WINDOW_US);

    private static EndpointInfo endpointInfo(long id, int kind, int zone, EndpointState state) {
        return EndpointInfo.builder(id, kind, zone).state(state).build();
    }

    private void updateWithFullList(EndpointInfo... infos) {
        table.update(NOW, EndpointListMode.FULL, List.of(infos));
    }

    @Test
    void readyEndpointsAreSortedIntoTheirTiers() {
        updateWithFullList(
                endpointInfo(1, 0, 0, EndpointState.READY),
                endpointInfo(2, 0, 1, EndpointState.READY),
                endpointInfo(3, 0, 0, EndpointState.DRAINING),
                endpointInfo(7, 1, 1, EndpointState.READY),
                endpointInfo(9, 2, 1, EndpointState.READY));
        assertEquals(List.of(table.get(1)), table.caches(), "ready caches of the router's own zone");
        assertEquals(List.of(table.get(7)), table.parents());
        assertSame(table.get(9), table.origin());
        assertEquals(1, table.countAvoided(NOW), "the draining endpoint");
    }

    @Test
    void fullListRemovesUnlistedEndpoints() {
        updateWithFullList(endpointInfo(1, 0, 0, EndpointState.READY), endpointInfo(2, 0, 0, EndpointState.READY));
        updateWithFullList(endpointInfo(2, 0, 0, EndpointState.READY));
        assertNull(table.get(1));
        table.update(NOW, EndpointListMode.DELTA, List.of());
        assertNotNull(table.get(2), "a delta removes only endpoints that it lists as removed");
    }

    @Test
    void removedEndpointIsKeptWhileItHasRecentWork() {
        updateWithFullList(endpointInfo(1, 0, 0, EndpointState.READY));
        Endpoint cache = table.get(1);
        cache.recentWork.add(NOW, 5);
        table.update(NOW, EndpointListMode.DELTA, List.of(endpointInfo(1, 0, 0, EndpointState.REMOVED)));
        assertSame(cache, table.get(1));
        assertEquals(List.of(), table.caches());
        table.update(NOW + WINDOW_US, EndpointListMode.DELTA, List.of());
        assertNull(table.get(1));
    }

    @Test
    void restartDiscardsTheHealthOfThePreviousProcess() {
        updateWithFullList(endpointInfo(1, 0, 0, EndpointState.READY));
        table.get(1).eject(NOW, 1_000_000);
        table.update(NOW, EndpointListMode.DELTA, List.of(endpointInfo(1, 0, 0, EndpointState.READY)));
        assertEquals(NOW + 1_000_000, table.get(1).ejectedUntil, "an unchanged start time is the same process");
        EndpointInfo restarted = EndpointInfo.builder(1, 0, 0).startedUs(NOW).build();
        table.update(NOW, EndpointListMode.DELTA, List.of(restarted));
        assertEquals(0, table.get(1).ejectedUntil);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT, table.get(1).concurrencyLimit);
    }
}
