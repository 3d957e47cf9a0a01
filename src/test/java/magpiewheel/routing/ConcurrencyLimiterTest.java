package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import magpiewheel.membership.MembershipProtocol;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
    private static final long NOW = 1_000_000_000;
    private static final double LINK_TRANSFERS = 10;
    private final RouterTopology topology = RouterTopology.builder(0, 1, 0)
            .linkKbPerSByZone(new double[] {LINK_TRANSFERS * 1_000})
            .transferKbPerS(1_000)
            .parentKind(1)
            .originKind(2)
            .build();
    private final EndpointTable endpoints = new EndpointTable(topology, 0);
    private final PeerReports peers = new PeerReports(0, 8, 10_000_000, endpoints.byId());
    private final OriginHealth originHealth = new OriginHealth(
            new MembershipProtocol(NOW, topology.membershipConfig(0, 50_000, 1, false), null), new SplittableRandom(1));
    private final ConcurrencyLimiter limiter = new ConcurrencyLimiter(topology, endpoints, peers, originHealth);
    private Endpoint cache;
    private Endpoint origin;

    @BeforeEach
    void addCacheAndOrigin() {
        endpoints.update(
                NOW,
                EndpointListMode.FULL,
                List.of(
                        EndpointInfo.builder(1, 0, 0).build(),
                        EndpointInfo.builder(9, 2, 0).build()));
        cache = endpoints.get(1);
        origin = endpoints.get(9);
    }

    private void respond(boolean hit, boolean late) {
        limiter.adapt(NOW, new Attempt(cache, hit ? cache : origin, NOW, 1, hit ? 0 : 1), hit, late);
    }

    @Test
    void aLateHitLowersTheLimitOfItsCacheOnly() {
        respond(true, true);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT - 0.8, cache.concurrencyLimit, 1e-9);
        assertEquals(2 * LINK_TRANSFERS, limiter.fillLimit());
        for (int i = 0; i < 100; i++) {
            respond(true, true);
        }
        assertEquals(ConcurrencyLimiter.MIN_LIMIT, cache.concurrencyLimit);
    }

    @Test
    void aLateFillLowersTheFillLimitAndTheLimitOfTheOriginThatServedIt() {
        respond(false, true);
        assertEquals(2 * LINK_TRANSFERS - 0.8, limiter.fillLimit(), 1e-9);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT - 0.8, origin.concurrencyLimit, 1e-9);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT, cache.concurrencyLimit);
    }

    @Test
    void theFillLimitNeverFallsBelowTheTransfersOfTheLink() {
        for (int i = 0; i < 100; i++) {
            respond(false, true);
        }
        assertEquals(LINK_TRANSFERS, limiter.fillLimit());
    }

    @Test
    void aLimitIncreasesOnlyWhileItIsInUse() {
        respond(true, false);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT, cache.concurrencyLimit);
        cache.ownInFlight = 8;
        respond(true, false);
        assertEquals(ConcurrencyLimiter.INITIAL_LIMIT + 0.08, cache.concurrencyLimit, 1e-9);
    }

    @Test
    void fillsAreAdmittedUpToAMultipleOfTheLimit() {
        limiter.fillStarted(19);
        assertTrue(limiter.admitsFill(1, 1));
        assertFalse(limiter.admitsFill(1.1, 1));
        assertFalse(limiter.admitsFill(1, 0.5));
        limiter.fillEnded(10);
        assertTrue(limiter.admitsFill(1, 0.5));
    }

    @Test
    void theLimitsOfASinglePeerAreAdoptedAsTheAverage() {
        limiter.reportedByPeer(12, List.of(new EndpointLoad(1, 0, 6), new EndpointLoad(4_711, 0, 6)));
        assertEquals(12, limiter.fillLimit());
        assertEquals(6, cache.concurrencyLimit);
    }
}
