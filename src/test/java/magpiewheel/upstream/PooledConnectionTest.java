package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import magpiewheel.engine.Counter;
import magpiewheel.engine.PendingRequest;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.ScriptedEndpoint.Connection;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Connections that end, or bring what nobody asked for, in the moment in which the next request goes to them. */
public class PooledConnectionTest extends ScriptedEndpointFixture {
    /** A connection that has served one request and is unused. */
    private Connection idleConnection() throws IOException {
        harness.sendRequest("first", UpstreamHarness.PURE, null);
        Connection connection = endpoint.accept();
        assertTrue(connection.next().startsWith("serve first "));
        connection.done("first", "t1");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        UpstreamHarness.take(harness.answers).body().release();
        return connection;
    }

    private void servedOnNewConnection() throws IOException {
        try (Connection newConnection = endpoint.accept()) {
            assertTrue(newConnection.next().startsWith("serve second "));
            newConnection.done("second", "t2");
            assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK, "the first word of it");
            assertEquals(UpstreamHarness.take(harness.answers).tag(), "t2");
        }
    }

    /** The node reset it, and its reader has yet to say so: a write takes nothing, so the request goes elsewhere. */
    @Test
    public void resetIdleConnectionAcceptsNothingAndCostsNoAttempt() throws Exception {
        Connection connection = idleConnection();
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        socket.holdReads();
        connection.reset();
        socket.awaitRead();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        servedOnNewConnection();
        assertEquals(harness.counter(Counter.NODE_BROKEN), 0);
        socket.resumeReads();
    }

    /** Its reader has closed it, and the node's actor has yet to hear so. */
    @Test
    public void closedIdleConnectionIsNotSelected() throws Exception {
        Connection connection = idleConnection();
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        socket.holdReads();
        socket.close();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        servedOnNewConnection();
        assertEquals(harness.counter(Counter.NODE_BROKEN), 0);
        socket.resumeReads();
        connection.close();
    }

    /**
     * The node ended its side only, and its reader has yet to say so: the machine took the request, so it may have run.
     */
    @Test
    public void requestWrittenToHalfClosedConnectionMayHaveRun() throws Exception {
        Connection connection = idleConnection();
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        socket.holdReads();
        connection.close();
        socket.awaitRead();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        UpstreamHarness.awaitCondition("it is written", () -> harness.counter(Counter.WRITTEN) == 2);
        socket.resumeReads();
        AttemptResult result = UpstreamHarness.take(harness.outcomes).result();
        assertEquals(result, AttemptResult.CONNECTION_LOST);
        assertFalse(result.neverRan);
    }

    /** What a node says before it ends the connection under a request; none of it proves that nothing ran. */
    @DataProvider
    Object[][] partialResponses() {
        return new Object[][] {
            {""},
            {"second LA"},
            {"second LACK - 0"},
            {"second LACK - 0\r"},
            {"second DONE tell=hit,tag=t2,minted=1 3"},
            {"second DONE tell=hit,tag=t2,minted=1 3\r\nab"},
            {"second DONE tell=hit,tag=t2,minted=1 3\r\nabc"}
        };
    }

    /** Half an answer proves nothing about the effect of its request. */
    @Test(dataProvider = "partialResponses")
    public void truncatedResponseMayHaveRun(String text) throws Exception {
        Connection connection = idleConnection();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.write(text);
        connection.close();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.CONNECTION_LOST);
        assertEquals(harness.pool.available(), UpstreamHarness.BUFFERS, "no room is lost");
    }

    /** An answer that never ends is called off in the end; it may have run, and the node gets nothing more there. */
    @Test
    public void unfinishedResponseIsCancelledAndItsConnectionClosed() throws Exception {
        Connection connection = idleConnection();
        harness.onPeerMessage = (actions, message) -> actions.cancelAttempt(2, 0);
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.write("second DONE tell=hit,tag=t2,minted=1 100000\r\nabc");
        UpstreamHarness.awaitCondition("its room is taken", () -> harness.pool.available() < UpstreamHarness.BUFFERS);
        harness.engine.peerMessageReceived(1, new byte[0]);
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.CANCELLED);
        assertEquals(lastLineOf(connection), "cancel second");
        UpstreamHarness.awaitCondition(
                "its room is given back", () -> harness.pool.available() == UpstreamHarness.BUFFERS);
    }

    /** What comes before the end of a connection; one that is closed over unread octets may be reset. */
    private static String lastLineOf(Connection connection) throws IOException {
        String last = null;
        try {
            for (String next = connection.next(); next != null; next = connection.next()) {
                last = next;
            }
        } catch (SocketException e) {
            return last;
        }
        return last;
    }

    /** The second answer to a request comes while the next one is out on its connection. */
    @Test
    public void duplicateResponseIsNotMatchedToTheNextRequest() throws Exception {
        Connection connection = idleConnection();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.done("first", "t1");
        UpstreamHarness.awaitCondition("it was seen", () -> harness.counter(Counter.NODE_STRAYS) == 1);
        connection.done("second", "t2");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertEquals(UpstreamHarness.take(harness.answers).tag(), "t2");
        assertNull(connection.next(), "nor is the connection used again");
    }

    /**
     * The node's actor hears of the second answer while the connection's reader is in the middle of the next one: what
     * the reader finds behind that one must not undo it.
     */
    @Test
    public void duplicateResponseReportedLateStillRetiresTheConnection() throws Exception {
        Connection connection = idleConnection();
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        CountDownLatch actorMayContinue = new CountDownLatch(1);
        harness.holdsConnects = true;
        harness.onSocketCreated = () -> await(actorMayContinue);
        harness.sendRequest("third", UpstreamHarness.PURE, null);
        UpstreamHarness.take(harness.sockets);
        connection.done("first", "t1");
        socket.holdAvailable();
        connection.done("second", "t2");
        socket.awaitAvailable();
        actorMayContinue.countDown();
        harness.sendRequest("fourth", UpstreamHarness.PURE, null);
        // Its connection is begun behind the word of the second answer.
        UpstreamHarness.take(harness.sockets);
        socket.resumeAvailable();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertNull(connection.next(), "the connection is used again");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * The first try was turned away; another request went over its connection since. A second copy of that answer would
     * say of the second try that it never ran.
     */
    @Test
    public void retryAvoidsConnectionsOfEarlierAttempts() throws Exception {
        harness.onOutcome = (actions, outcome) -> {};
        harness.onPeerMessage =
                (actions, message) -> actions.startAttempt(1, UpstreamHarness.ENDPOINT_ID, UpstreamHarness.plan());
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        Connection connection = endpoint.accept();
        assertTrue(connection.next().startsWith("serve second "));
        connection.write("second WAIT - 0\r\n\r\n");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.REJECTED);
        harness.sendRequest("between", UpstreamHarness.PURE, null);
        assertTrue(connection.next().startsWith("serve between "));
        connection.done("between", "t1");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertEquals(UpstreamHarness.take(harness.answers).outcome(), PendingRequest.Outcome.SERVED);
        harness.engine.peerMessageReceived(1, new byte[0]);
        servedOnNewConnection();
    }
}
