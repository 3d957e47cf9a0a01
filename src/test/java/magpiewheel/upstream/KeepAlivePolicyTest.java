package magpiewheel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class KeepAlivePolicyTest {
    private static final long SECOND = 1_000_000_000L;

    /** In case join+vast 913, 14 routers made 1,107 handshakes in 20 s, mostly for connections they had closed idle. */
    @Test
    void idleConnectionIsKeptForHalfOfTheEndpointTimeout() {
        assertEquals(15 * SECOND, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(200));
        assertEquals(15 * SECOND, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(100));
    }

    /** Idle connections to one endpoint must not prevent a connection to another. */
    @Test
    void idleTimeoutIsShortWhenFewConnectionsAreFree() {
        assertEquals(1_500_000_000L, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(99));
        assertEquals(1_500_000_000L, new KeepAlivePolicy(30_000_000, 200).idleTimeoutNs(-1));
    }

    /** An endpoint that closes idle connections early must not close one that carries a request. */
    @Test
    void idleTimeoutNeverExceedsHalfOfTheEndpointTimeout() {
        assertEquals(SECOND, new KeepAlivePolicy(2_000_000, 200).idleTimeoutNs(200));
        assertEquals(SECOND, new KeepAlivePolicy(2_000_000, 200).idleTimeoutNs(0));
        assertEquals(1_500_000_000L, new KeepAlivePolicy(0, 200).idleTimeoutNs(200), "the endpoint timeout is unknown");
    }
}
