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
import magpiewheel.upstream.ScriptedNode.Line;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Connections that end, or bring what nobody asked for, in the moment in which the next request goes to them. */
public class PooledConnectionTest extends ScriptedNodeRig {
    /** A connection that has served one request and is unused. */
    private Line unused() throws IOException {
        rig.ask("first", NodeRig.PURE, null);
        Line line = node.accept();
        assertTrue(line.next().startsWith("serve first "));
        line.done("first", "t1");
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        NodeRig.next(rig.answers).body().release();
        return line;
    }

    private void servedAnew() throws IOException {
        try (Line anew = node.accept()) {
            assertTrue(anew.next().startsWith("serve second "));
            anew.done("second", "t2");
            assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK, "the first word of it");
            assertEquals(NodeRig.next(rig.answers).tag(), "t2");
        }
    }

    /** The node reset it, and its reader has yet to say so: a write takes nothing, so the request goes elsewhere. */
    @Test
    public void aResetUnusedConnectionTakesNothingAndCostsNoAttempt() throws Exception {
        Line line = unused();
        HeldSocket socket = NodeRig.next(rig.dials);
        socket.holdReads();
        line.reset();
        socket.awaitRead();
        rig.ask("second", NodeRig.UNSAFE, null);
        servedAnew();
        assertEquals(rig.count(Counter.NODE_BROKEN), 0);
        socket.readOn();
    }

    /** Its reader has closed it, and the node's actor has yet to hear so. */
    @Test
    public void aClosedUnusedConnectionIsNotChosen() throws Exception {
        Line line = unused();
        HeldSocket socket = NodeRig.next(rig.dials);
        socket.holdReads();
        socket.close();
        rig.ask("second", NodeRig.UNSAFE, null);
        servedAnew();
        assertEquals(rig.count(Counter.NODE_BROKEN), 0);
        socket.readOn();
        line.close();
    }

    /**
     * The node ended its side only, and its reader has yet to say so: the machine took the request, so it may have run.
     */
    @Test
    public void aRequestTakenByAConnectionWhoseEndCameBeforeMayHaveRun() throws Exception {
        Line line = unused();
        HeldSocket socket = NodeRig.next(rig.dials);
        socket.holdReads();
        line.close();
        socket.awaitRead();
        rig.ask("second", NodeRig.UNSAFE, null);
        NodeRig.until("it is written", () -> rig.count(Counter.WRITTEN) == 2);
        socket.readOn();
        AttemptResult result = NodeRig.next(rig.told).result();
        assertEquals(result, AttemptResult.CONNECTION_LOST);
        assertFalse(result.neverRan);
    }

    /** What a node says before it ends the connection under a request; none of it proves that nothing ran. */
    @DataProvider
    Object[][] lastWords() {
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
    @Test(dataProvider = "lastWords")
    public void anAnswerThatBreaksOffMayHaveRun(String words) throws Exception {
        Line line = unused();
        rig.ask("second", NodeRig.UNSAFE, null);
        assertTrue(line.next().startsWith("serve second "));
        line.say(words);
        line.close();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.CONNECTION_LOST);
        assertEquals(rig.pool.available(), NodeRig.BUFFERS, "no room is lost");
    }

    /** An answer that never ends is called off in the end; it may have run, and the node gets nothing more there. */
    @Test
    public void anAnswerThatNeverEndsIsCalledOffAndItsConnectionClosed() throws Exception {
        Line line = unused();
        rig.onPeer = (actions, message) -> actions.cancelAttempt(2, 0);
        rig.ask("second", NodeRig.UNSAFE, null);
        assertTrue(line.next().startsWith("serve second "));
        line.say("second DONE tell=hit,tag=t2,minted=1 100000\r\nabc");
        NodeRig.until("its room is taken", () -> rig.pool.available() < NodeRig.BUFFERS);
        rig.engine.peerMessageReceived(1, new byte[0]);
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.CANCELLED);
        assertEquals(endOf(line), "cancel second");
        NodeRig.until("its room is given back", () -> rig.pool.available() == NodeRig.BUFFERS);
    }

    /** What comes before the end of a connection; one that is closed over unread octets may be reset. */
    private static String endOf(Line line) throws IOException {
        String last = null;
        try {
            for (String next = line.next(); next != null; next = line.next()) {
                last = next;
            }
        } catch (SocketException e) {
            return last;
        }
        return last;
    }

    /** The second answer to a request comes while the next one is out on its connection. */
    @Test
    public void aSecondAnswerIsNotTakenForTheNextRequests() throws Exception {
        Line line = unused();
        rig.ask("second", NodeRig.UNSAFE, null);
        assertTrue(line.next().startsWith("serve second "));
        line.done("first", "t1");
        NodeRig.until("it was seen", () -> rig.count(Counter.NODE_STRAYS) == 1);
        line.done("second", "t2");
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertEquals(NodeRig.next(rig.answers).tag(), "t2");
        assertNull(line.next(), "nor is the connection used again");
    }

    /**
     * The node's actor hears of the second answer while the connection's reader is in the middle of the next one: what
     * the reader finds behind that one must not undo it.
     */
    @Test
    public void aSecondAnswerThatTheActorHearsOfLateCountsToo() throws Exception {
        Line line = unused();
        HeldSocket connection = NodeRig.next(rig.dials);
        rig.ask("second", NodeRig.UNSAFE, null);
        assertTrue(line.next().startsWith("serve second "));
        CountDownLatch actorGoesOn = new CountDownLatch(1);
        rig.holdsDials = true;
        rig.onDial = () -> await(actorGoesOn);
        rig.ask("third", NodeRig.PURE, null);
        NodeRig.next(rig.dials);
        line.done("first", "t1");
        connection.holdLooks();
        line.done("second", "t2");
        connection.awaitLook();
        actorGoesOn.countDown();
        rig.ask("fourth", NodeRig.PURE, null);
        // Its connection is begun behind the word of the second answer.
        NodeRig.next(rig.dials);
        connection.lookOn();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertNull(line.next(), "the connection is used again");
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
    public void aFurtherTryKeepsAwayFromAllConnectionsOfEarlierOnes() throws Exception {
        rig.onOutcome = (actions, outcome) -> {};
        rig.onPeer = (actions, message) -> actions.startAttempt(1, NodeRig.NODE, NodeRig.plan());
        rig.ask("second", NodeRig.UNSAFE, null);
        Line line = node.accept();
        assertTrue(line.next().startsWith("serve second "));
        line.say("second WAIT - 0\r\n\r\n");
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.REJECTED);
        rig.ask("between", NodeRig.PURE, null);
        assertTrue(line.next().startsWith("serve between "));
        line.done("between", "t1");
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertEquals(NodeRig.next(rig.answers).outcome(), PendingRequest.Outcome.SERVED);
        rig.engine.peerMessageReceived(1, new byte[0]);
        servedAnew();
    }
}
