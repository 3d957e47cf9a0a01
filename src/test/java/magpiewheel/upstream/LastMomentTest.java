package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import magpiewheel.engine.Counter;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.EndpointState;
import magpiewheel.wire.StandInNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What was decided in time, and whose connection comes up when it may no longer be sent. */
public class LastMomentTest extends AnsweringNodeRig {
    @DataProvider
    Object[][] notReady() {
        return new Object[][] {{EndpointState.DRAINING}, {EndpointState.REMOVED}};
    }

    /** The node was told to drain, or to have left, while the connection came up. */
    @Test(dataProvider = "notReady")
    public void nothingIsWrittenToANodeThatIsNotReadyAnyMore(EndpointState state) {
        rig.holdsDials = true;
        rig.ask("one", NodeRig.UNSAFE, null);
        HeldSocket dial = NodeRig.next(rig.dials);
        rig.list(state);
        dial.comeUp();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.UNREACHABLE);
        assertEquals(rig.count(Counter.WRITTEN), 0);
        assertTrue(node.lines.isEmpty());
    }

    /** Another process has come under the node's id while the connection to the one before came up. */
    @Test
    public void nothingIsWrittenToAProcessThatHasASuccessor() {
        rig.holdsDials = true;
        rig.ask("one", NodeRig.UNSAFE, null);
        HeldSocket dial = NodeRig.next(rig.dials);
        rig.list(EndpointState.READY, 1);
        // Its message to the node's actor is before that of the connection.
        dial.comeUp();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.UNREACHABLE);
        assertEquals(rig.count(Counter.WRITTEN), 0);
    }

    /**
     * The first attempt may have run; the further one, which the module lets begin within the window, gets its
     * connection so long after it was sent.
     */
    private AttemptOutcome further(long beginWithinUs, long afterUs) {
        node.script((line, body) -> StandInNode.word(line, "BROKE"));
        rig.onOutcome = (actions, outcome) -> {
            if (outcome.attempt() == 0) {
                rig.holdsDials = true;
                actions.startAttempt(outcome.requestId(), NodeRig.NODE, rig.planWithin(beginWithinUs));
            }
        };
        rig.ask("one", NodeRig.KEYED, null);
        NodeRig.next(rig.dials);
        HeldSocket dial = NodeRig.next(rig.dials);
        rig.pass(afterUs);
        dial.comeUp();
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.ERROR);
        return NodeRig.next(rig.told);
    }

    /** A repeat whose connection comes up behind the window never runs. */
    @Test
    public void noRepeatBeginsBehindTheEndOfItsPlan() {
        assertEquals(further(NodeRig.WINDOW_US, NodeRig.WINDOW_US).result(), AttemptResult.UNREACHABLE);
        assertEquals(rig.count(Counter.WRITTEN), 1);
    }

    /** A repeat whose connection comes up within the window is written. */
    @Test
    public void withinThatTimeItDoes() {
        assertEquals(further(NodeRig.WINDOW_US, NodeRig.WINDOW_US / 2).result(), AttemptResult.ERROR);
        assertEquals(rig.count(Counter.WRITTEN), 2);
    }

    /** What may be repeated freely is written however late its connection comes up. */
    @Test
    public void aPlanWithoutAnEndKnowsNoWindow() {
        assertEquals(further(0, NodeRig.WINDOW_US).result(), AttemptResult.ERROR);
        assertEquals(rig.count(Counter.WRITTEN), 2);
    }
}
