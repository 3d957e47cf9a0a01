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

/** Pooled connections that end, or deliver unexpected data, just as the next request is sent on them. */
public class PooledConnectionTest extends ScriptedEndpointFixture {
    /** Returns an idle connection that has served one request. */
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
            assertEquals(
                    UpstreamHarness.take(harness.outcomes).result(),
                    AttemptResult.OK,
                    "the first outcome of the second request");
            assertEquals(UpstreamHarness.take(harness.answers).tag(), "t2");
        }
    }

    /**
     * The endpoint reset it, and its reader has not reported that yet: no byte is accepted, another connection is used.
     */
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

    /** The socket is closed, and the endpoint's actor has not been notified yet. */
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
     * The endpoint closed its side, and the reader has not reported that yet: the operating system accepted the
     * request, so it may have run.
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

    /** What an endpoint sends before it closes the connection during a request; none of it proves that nothing ran. */
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

    /** A truncated response proves nothing about the effect of its request. */
    @Test(dataProvider = "partialResponses")
    public void truncatedResponseMayHaveRun(String text) throws Exception {
        Connection connection = idleConnection();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.write(text);
        connection.close();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.CONNECTION_LOST);
        assertEquals(harness.pool.available(), UpstreamHarness.BUFFERS, "no buffer is lost");
    }

    /** An unfinished response is cancelled; the request may have run, and the connection is not used again. */
    @Test
    public void unfinishedResponseIsCancelledAndItsConnectionClosed() throws Exception {
        Connection connection = idleConnection();
        harness.onPeerMessage = (actions, message) -> actions.cancelAttempt(2, 0);
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.write("second DONE tell=hit,tag=t2,minted=1 100000\r\nabc");
        UpstreamHarness.awaitCondition(
                "its buffers are taken", () -> harness.pool.available() < UpstreamHarness.BUFFERS);
        harness.engine.peerMessageReceived(1, new byte[0]);
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.CANCELLED);
        assertEquals(lastLineOf(connection), "cancel second");
        UpstreamHarness.awaitCondition(
                "its buffers are released", () -> harness.pool.available() == UpstreamHarness.BUFFERS);
    }

    /** Returns the last line before the connection ends; one that is closed with unread data may be reset. */
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

    /** A duplicate response arrives while the next request is in flight on the connection. */
    @Test
    public void duplicateResponseIsNotMatchedToTheNextRequest() throws Exception {
        Connection connection = idleConnection();
        harness.sendRequest("second", UpstreamHarness.UNSAFE, null);
        assertTrue(connection.next().startsWith("serve second "));
        connection.done("first", "t1");
        UpstreamHarness.awaitCondition("the duplicate is counted", () -> harness.counter(Counter.NODE_STRAYS) == 1);
        connection.done("second", "t2");
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertEquals(UpstreamHarness.take(harness.answers).tag(), "t2");
        assertNull(connection.next(), "the connection must not be used again");
    }

    /**
     * The endpoint's actor is notified of the duplicate response while the connection's reader is still reading the
     * next response: the reader's check for data after that one must not reset the flag.
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
        // Its connection is opened after the actor was notified of the duplicate response.
        UpstreamHarness.take(harness.sockets);
        socket.resumeAvailable();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertNull(connection.next(), "the connection must not be used again");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * The first attempt was rejected; another request has used its connection since. On that connection, a duplicate of
     * the rejection would wrongly report that the second attempt never ran.
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
