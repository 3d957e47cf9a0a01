package magpiewheel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class KeepAlivePolicyTest {
    private static final long SECOND = 1_000_000_000L;

    /** join+vast 913: 14 fronts paid 1,107 handshakes in 20 s, most for connections that each had closed unused. */
    @Test
    void idleConnectionIsKeptForHalfOfTheEndpointTimeout() {
        assertEquals(15 * SECOND, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(200));
        assertEquals(15 * SECOND, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(100));
    }

    /** Those kept for one node must not stand in the way of a connection to another. */
    @Test
    void idleTimeoutIsShortWhenFewConnectionsAreFree() {
        assertEquals(1_500_000_000L, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(99));
        assertEquals(1_500_000_000L, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(-1));
    }

    /** Nodes that close early must not do so under a request. */
    @Test
    void idleTimeoutNeverExceedsHalfOfTheEndpointTimeout() {
        assertEquals(SECOND, new KeepAlivePolicy(2_000_000, 200).idleTimeoutNs(200));
        assertEquals(SECOND, new KeepAlivePolicy(2_000_000, 200).idleTimeoutNs(0));
        assertEquals(1_500_000_000L, new KeepAlivePolicy(0, 200).idleTimeoutNs(200), "a time that is not told");
    }
}
