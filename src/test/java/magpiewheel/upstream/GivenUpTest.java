package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import magpiewheel.engine.Counter;
import magpiewheel.engine.PendingRequest;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.wire.StandInNode;
import org.testng.annotations.Test;

/** Requests that are given up before their node has seen a byte of them: none of it is written then. */
public class GivenUpTest extends AnsweringNodeRig {
    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** The next request is served, and it is the first that the node sees. */
    private void onlyTheNextIsWritten() {
        rig.ask("next", NodeRig.PURE, null);
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertTrue(NodeRig.next(node.lines).startsWith("serve next "));
    }

    /**
     * The module is busy and its mailbox full, so that it hears of nothing, and calls nothing off; the client leaves;
     * then the connection comes up.
     */
    @Test
    public void aLeaveBehindAFullMailboxStopsARequestWhoseConnectionComesUpLate() throws Exception {
        rig.holdsDials = true;
        PendingRequest call = rig.ask("left", NodeRig.PURE, null);
        HeldSocket dial = NodeRig.next(rig.dials);
        CountDownLatch moduleGoesOn = new CountDownLatch(1);
        rig.onPeer = (actions, message) -> await(moduleGoesOn);
        while (rig.count(Counter.PEER_DROPPED) == 0) {
            rig.engine.peerMessageReceived(1, new byte[0]);
        }
        Thread leaves = new Thread(() -> rig.engine.clientDisconnected(call));
        leaves.start();
        NodeRig.until("the client has left", call::abandoned);
        dial.comeUp();
        NodeRig.until("the connection is up", dial::isConnected);
        moduleGoesOn.countDown();
        leaves.join();
        AttemptOutcome outcome = NodeRig.next(rig.told);
        assertEquals(outcome.result(), AttemptResult.CANCELLED, "nothing is held against the node");
        assertTrue(outcome.requestCompleted());
        assertEquals(rig.gone.size(), 1);
        onlyTheNextIsWritten();
        assertEquals(rig.count(Counter.DIALS), 1, "the connection that came up late carries it");
    }

    /** The client leaves in the moment in which the module decides on a further attempt. */
    @Test
    public void noFurtherAttemptBeginsForAClientThatLeft() {
        node.script((line, body) -> StandInNode.word(line, "WAIT"));
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        rig.onOutcome = (actions, outcome) -> {
            decides.countDown();
            await(left);
            actions.startAttempt(outcome.requestId(), NodeRig.NODE, NodeRig.plan());
        };
        PendingRequest call = rig.ask("left", NodeRig.PURE, null);
        await(decides);
        call.abandon();
        left.countDown();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.REJECTED);
        AttemptOutcome second = NodeRig.next(rig.told);
        assertEquals(second.attempt() + " " + second.result() + " " + second.requestCompleted(), "1 CANCELLED true");
        assertTrue(NodeRig.next(node.lines).startsWith("serve left "));
        assertEquals(rig.count(Counter.WRITTEN), 1);
        rig.engine.clientDisconnected(call);
        assertEquals(rig.gone.size(), 1, "the module hears of it once");
    }

    /** A request that waited for the module's turn when its client left: the module never hears of it. */
    @Test
    public void theModuleIsNotAskedForAClientThatLeft() {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch moduleGoesOn = new CountDownLatch(1);
        rig.onPeer = (actions, message) -> {
            busy.countDown();
            await(moduleGoesOn);
        };
        rig.engine.peerMessageReceived(1, new byte[0]);
        await(busy);
        PendingRequest call = rig.ask("left", NodeRig.PURE, rig.pool.acquire(10, 0));
        call.abandon();
        moduleGoesOn.countDown();
        rig.engine.clientDisconnected(call);
        onlyTheNextIsWritten();
        assertEquals(rig.gone.size(), 0);
        assertEquals(rig.count(Counter.GIVEN_UP_BY_CLIENT), 1);
        assertTrue(rig.answers.stream().allMatch(answer -> answer.outcome() == PendingRequest.Outcome.SERVED));
    }

    /**
     * What was called off while its connection came up has proven that it never ran: told as one that may have run, an
     * unsafe request could be neither tried again nor refused.
     */
    @Test
    public void whatIsCalledOffWhileItsConnectionComesUpHasNeverRun() {
        rig.holdsDials = true;
        rig.onPeer = (actions, message) -> actions.cancelAttempt(1, 0);
        rig.ask("called-off", NodeRig.UNSAFE, null);
        HeldSocket dial = NodeRig.next(rig.dials);
        rig.engine.peerMessageReceived(1, new byte[0]);
        AttemptOutcome outcome = NodeRig.next(rig.told);
        assertEquals(outcome.result(), AttemptResult.UNREACHABLE);
        assertTrue(outcome.result().neverRan && !outcome.requestCompleted());
        assertEquals(NodeRig.next(rig.answers).outcome(), PendingRequest.Outcome.REJECTED);
        dial.comeUp();
        rig.holdsDials = false;
        NodeRig.until("the connection is up", dial::isConnected);
        onlyTheNextIsWritten();
    }
}
