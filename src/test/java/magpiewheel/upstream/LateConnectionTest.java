package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import magpiewheel.engine.Counter;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.ScriptedNode.Line;
import org.testng.annotations.Test;

/** Connections that come up late: what waits for one goes over whichever connection can be used first. */
public class LateConnectionTest extends ScriptedNodeRig {
    private void served(Line line, String trace) throws IOException {
        assertTrue(line.next().startsWith("serve " + trace + " "));
        line.done(trace, trace);
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertEquals(NodeRig.next(rig.answers).tag(), trace);
    }

    /** Two wait for connections that never come up; the one in use becomes free, and carries both, the older first. */
    @Test
    public void aConnectionThatBecomesFreeCarriesWhatWaitsForLateOnes() throws Exception {
        rig.ask("one", NodeRig.PURE, null);
        Line line = node.accept();
        rig.holdsDials = true;
        NodeRig.next(rig.dials);
        rig.ask("two", NodeRig.PURE, null);
        HeldSocket late = NodeRig.next(rig.dials);
        rig.ask("three", NodeRig.PURE, null);
        HeldSocket later = NodeRig.next(rig.dials);
        served(line, "one");
        served(line, "two");
        served(line, "three");
        late.close();
        later.close();
    }

    /** The later of two connections comes up first; behind its own request it carries the one that still waits. */
    @Test
    public void aConnectionThatCameUpCarriesWhatWaitsForOneThatDoesNot() throws Exception {
        rig.holdsDials = true;
        rig.ask("one", NodeRig.PURE, null);
        HeldSocket late = NodeRig.next(rig.dials);
        rig.ask("two", NodeRig.PURE, null);
        HeldSocket later = NodeRig.next(rig.dials);
        later.comeUp();
        Line line = node.accept();
        served(line, "two");
        served(line, "one");
        // The one that nobody waits for any more comes up, and is there for the next two.
        late.comeUp();
        try (Line second = node.accept()) {
            rig.ask("three", NodeRig.PURE, null);
            rig.ask("four", NodeRig.PURE, null);
            assertTrue(line.next().startsWith("serve "));
            assertTrue(second.next().startsWith("serve "));
        }
    }

    /** A connection that is refused ends only an attempt that still waits for it. */
    @Test
    public void aConnectionThatFailsCostsNothingOnceItsAttemptWentElsewhere() throws Exception {
        rig.ask("one", NodeRig.PURE, null);
        Line line = node.accept();
        rig.holdsDials = true;
        NodeRig.next(rig.dials);
        rig.ask("two", NodeRig.PURE, null);
        HeldSocket late = NodeRig.next(rig.dials);
        served(line, "one");
        assertTrue(line.next().startsWith("serve two "));
        late.close();
        line.done("two", "two");
        assertEquals(NodeRig.next(rig.told).result(), AttemptResult.OK);
        assertEquals(rig.count(Counter.DIALS_FAILED), 0);
    }
}
