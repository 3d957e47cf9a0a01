package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HolderTableTest {
    private static final long NOW = 1_000_000_000;
    private static final long OBJECT = 77;
    private static final int GROUP = 5;
    private final PurgeLog purges = new PurgeLog();
    private final HolderTable holders = new HolderTable(purges, HolderTable.MAX_OBJECTS);
    private final Endpoint cache = new Endpoint(1, 0);
    private final RouterTopology topology = RouterTopology.builder(0, 1, 0).build();

    @BeforeEach
    void reportHolder() {
        cache.update(EndpointInfo.builder(1, 0, 0).build(), topology);
        holders.reportedByPeer(NOW, cache, new HolderHint(OBJECT, 0, 1, GROUP, 0));
    }

    @Test
    void aHintNamesTheHolderUntilItExpires() {
        assertSame(cache, holders.holder(NOW + HolderTable.HINT_LIFETIME_US - 1, OBJECT));
        assertNull(holders.holder(NOW + HolderTable.HINT_LIFETIME_US, OBJECT));
        assertNull(holders.holder(NOW, OBJECT + 1));
    }

    @Test
    void aHintOlderThanThePurgeOfItsGroupIsIgnored() {
        purges.add(NOW, new Purge(0, 0, GROUP));
        assertNull(holders.holder(NOW + 1, OBJECT));
    }

    @Test
    void aPurgedObjectHasNoHolder() {
        holders.forget(OBJECT);
        assertNull(holders.holder(NOW, OBJECT));
    }

    @Test
    void aHolderThatDrainsOrRestartedIsIgnored() {
        EndpointInfo.Builder info = EndpointInfo.builder(1, 0, 0);
        cache.update(info.state(EndpointState.DRAINING).build(), topology);
        assertNull(holders.holder(NOW, OBJECT));
        cache.update(info.state(EndpointState.READY).startedUs(NOW + 1).build(), topology);
        assertNull(holders.holder(NOW + 2, OBJECT));
    }

    @Test
    void anOlderReportDoesNotReplaceANewerOne() {
        Endpoint other = new Endpoint(2, 0);
        other.update(EndpointInfo.builder(2, 0, 0).build(), topology);
        holders.reportedByPeer(NOW - 1, other, new HolderHint(OBJECT, 0, 2, GROUP, 0));
        assertSame(cache, holders.holder(NOW, OBJECT));
        holders.reportedByPeer(NOW + 1, other, new HolderHint(OBJECT, 0, 2, GROUP, 0));
        assertSame(other, holders.holder(NOW + 1, OBJECT));
    }
}
