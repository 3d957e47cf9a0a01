package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Counter;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.wire.StandInNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Connections that come up late or never: no attempt waits for one longer than its module's decision holds. The clock
 * stands still but for what a test lets pass, so that a slow machine changes no verdict.
 */
public class BeginDeadlineTest {
    private static final long BEGIN_WITHIN_US = TimeUnit.MILLISECONDS.toMicros(200);

    private StandInNode node;
    private NodeRig rig;

    /** A node that answers at once, connections that come up when a test lets them, and a clock that stands. */
    @BeforeMethod
    public void start() throws IOException {
        node = new StandInNode((line, body) -> StandInNode.done(line, "tell=hit,tag=aa,minted=1", new byte[10]));
        rig = new NodeRig(node.address(), InstantSource.fixed(Instant.now()));
        rig.holdsDials = true;
        rig.beginWithinUs = BEGIN_WITHIN_US;
    }

    /** Ends what the test has started. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        rig.close();
        node.close();
    }

    private void isUnreached() {
        AttemptOutcome outcome = NodeRig.next(rig.told);
        assertEquals(outcome.result(), AttemptResult.UNREACHABLE);
        assertTrue(outcome.result().neverRan && !outcome.requestCompleted(), "it may go elsewhere");
    }

    private void isServed(String trace) {
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertTrue(NodeRig.next(node.lines).startsWith("serve " + trace + " "));
    }

    /** The connection comes up when the decision no longer holds: nothing is written there, and the next may use it. */
    @Test
    public void whatHasNotBegunByItsTimeNeverDoes() {
        rig.ask("late", NodeRig.UNSAFE, null);
        HeldSocket slow = NodeRig.next(rig.dials);
        rig.pass(BEGIN_WITHIN_US);
        isUnreached();
        slow.comeUp();
        NodeRig.until("the connection is up", slow::isConnected);
        rig.ask("next", NodeRig.PURE, null);
        isServed("next");
        assertEquals(rig.count(Counter.WRITTEN), 1);
    }

    /** The connection never comes up: the attempt ends in time for the request to go elsewhere. */
    @Test
    public void anAttemptEndsWhenItsConnectionNeverComesUp() {
        rig.ask("never", NodeRig.PURE, null);
        NodeRig.next(rig.dials);
        rig.pass(BEGIN_WITHIN_US);
        isUnreached();
        assertEquals(rig.count(Counter.WRITTEN), 0);
    }

    /** At half of the time a second connection is begun, which carries the attempt; the first serves the next one. */
    @Test
    public void aSecondConnectionIsBegunForWhatWaits() {
        rig.ask("first", NodeRig.PURE, null);
        HeldSocket slow = NodeRig.next(rig.dials);
        rig.holdsDials = false;
        rig.pass(BEGIN_WITHIN_US / 2);
        NodeRig.next(rig.dials);
        isServed("first");
        slow.comeUp();
        rig.ask("second", NodeRig.PURE, null);
        isServed("second");
        assertEquals(rig.count(Counter.DIALS), 2);
    }
}
