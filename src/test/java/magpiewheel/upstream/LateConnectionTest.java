package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import magpiewheel.engine.Counter;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.ScriptedEndpoint.Connection;
import org.testng.annotations.Test;

/** Connections that open late: a waiting attempt is sent over whichever connection is usable first. */
public class LateConnectionTest extends ScriptedEndpointFixture {
    private void served(Connection connection, String trace) throws IOException {
        assertTrue(connection.next().startsWith("serve " + trace + " "));
        connection.done(trace, trace);
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertEquals(UpstreamHarness.take(harness.answers).tag(), trace);
    }

    /**
     * Two attempts wait for connections that never open; the one in use becomes free and serves both, the older first.
     */
    @Test
    public void freedConnectionServesAttemptsWaitingForOthers() throws Exception {
        harness.sendRequest("one", UpstreamHarness.PURE, null);
        Connection connection = endpoint.accept();
        harness.holdsConnects = true;
        UpstreamHarness.take(harness.sockets);
        harness.sendRequest("two", UpstreamHarness.PURE, null);
        ControlledSocket late = UpstreamHarness.take(harness.sockets);
        harness.sendRequest("three", UpstreamHarness.PURE, null);
        ControlledSocket later = UpstreamHarness.take(harness.sockets);
        served(connection, "one");
        served(connection, "two");
        served(connection, "three");
        late.close();
        later.close();
    }

    /** The later of two connections opens first; after its own request it serves the one that still waits. */
    @Test
    public void openedConnectionServesAttemptWaitingForAnother() throws Exception {
        harness.holdsConnects = true;
        harness.sendRequest("one", UpstreamHarness.PURE, null);
        ControlledSocket late = UpstreamHarness.take(harness.sockets);
        harness.sendRequest("two", UpstreamHarness.PURE, null);
        ControlledSocket later = UpstreamHarness.take(harness.sockets);
        later.allowConnect();
        Connection connection = endpoint.accept();
        served(connection, "two");
        served(connection, "one");
        // The connection without a waiting attempt opens, and both serve the next two requests.
        late.allowConnect();
        try (Connection second = endpoint.accept()) {
            harness.sendRequest("three", UpstreamHarness.PURE, null);
            harness.sendRequest("four", UpstreamHarness.PURE, null);
            assertTrue(connection.next().startsWith("serve "));
            assertTrue(second.next().startsWith("serve "));
        }
    }

    /** A connection that fails ends only an attempt that still waits for it. */
    @Test
    public void failedConnectionDoesNotAffectReassignedAttempt() throws Exception {
        harness.sendRequest("one", UpstreamHarness.PURE, null);
        Connection connection = endpoint.accept();
        harness.holdsConnects = true;
        UpstreamHarness.take(harness.sockets);
        harness.sendRequest("two", UpstreamHarness.PURE, null);
        ControlledSocket late = UpstreamHarness.take(harness.sockets);
        served(connection, "one");
        assertTrue(connection.next().startsWith("serve two "));
        late.close();
        connection.done("two", "two");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertEquals(harness.counter(Counter.DIALS_FAILED), 0);
    }
}
