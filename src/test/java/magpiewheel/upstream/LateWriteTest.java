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
public class LateWriteTest extends RespondingEndpointFixture {
    @DataProvider
    Object[][] notReady() {
        return new Object[][] {{EndpointState.DRAINING}, {EndpointState.REMOVED}};
    }

    /** The node was told to drain, or to have left, while the connection came up. */
    @Test(dataProvider = "notReady")
    public void nothingIsWrittenToAnEndpointThatIsNoLongerReady(EndpointState state) {
        harness.holdsConnects = true;
        harness.sendRequest("one", UpstreamHarness.UNSAFE, null);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.updateEndpoint(state);
        socket.allowConnect();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.UNREACHABLE);
        assertEquals(harness.counter(Counter.WRITTEN), 0);
        assertTrue(endpoint.lines.isEmpty());
    }

    /** Another process has come under the node's id while the connection to the one before came up. */
    @Test
    public void nothingIsWrittenToAReplacedProcess() {
        harness.holdsConnects = true;
        harness.sendRequest("one", UpstreamHarness.UNSAFE, null);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.updateEndpoint(EndpointState.READY, 1);
        // Its message to the node's actor is before that of the connection.
        socket.allowConnect();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.UNREACHABLE);
        assertEquals(harness.counter(Counter.WRITTEN), 0);
    }

    /**
     * The first attempt may have run; the further one, which the module lets begin within the window, gets its
     * connection so long after it was sent.
     */
    private AttemptOutcome secondAttempt(long beginWithinUs, long afterUs) {
        endpoint.script((line, body) -> StandInNode.word(line, "BROKE"));
        harness.onOutcome = (actions, outcome) -> {
            if (outcome.attempt() == 0) {
                harness.holdsConnects = true;
                actions.startAttempt(
                        outcome.requestId(), UpstreamHarness.ENDPOINT_ID, harness.planWithin(beginWithinUs));
            }
        };
        harness.sendRequest("one", UpstreamHarness.KEYED, null);
        UpstreamHarness.take(harness.sockets);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.advanceClock(afterUs);
        socket.allowConnect();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.ERROR);
        return UpstreamHarness.take(harness.outcomes);
    }

    /** A repeat whose connection comes up behind the window never runs. */
    @Test
    public void noRetryStartsAfterTheDeadlineOfItsPlan() {
        assertEquals(
                secondAttempt(UpstreamHarness.WINDOW_US, UpstreamHarness.WINDOW_US)
                        .result(),
                AttemptResult.UNREACHABLE);
        assertEquals(harness.counter(Counter.WRITTEN), 1);
    }

    /** A repeat whose connection comes up within the window is written. */
    @Test
    public void retryStartsBeforeTheDeadlineOfItsPlan() {
        assertEquals(
                secondAttempt(UpstreamHarness.WINDOW_US, UpstreamHarness.WINDOW_US / 2)
                        .result(),
                AttemptResult.ERROR);
        assertEquals(harness.counter(Counter.WRITTEN), 2);
    }

    /** What may be repeated freely is written however late its connection comes up. */
    @Test
    public void planWithoutDeadlineStartsAtAnyTime() {
        assertEquals(secondAttempt(0, UpstreamHarness.WINDOW_US).result(), AttemptResult.ERROR);
        assertEquals(harness.counter(Counter.WRITTEN), 2);
    }
}
