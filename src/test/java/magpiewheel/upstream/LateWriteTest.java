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

/** Attempts that were started in time, but whose connection opens when they may no longer be written. */
public class LateWriteTest extends RespondingEndpointFixture {
    @DataProvider
    Object[][] notReady() {
        return new Object[][] {{EndpointState.DRAINING}, {EndpointState.REMOVED}};
    }

    /** The endpoint was listed as draining or removed while the connection opened. */
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

    /** A new process was listed under the endpoint's id while the connection to the previous one opened. */
    @Test
    public void nothingIsWrittenToAReplacedProcess() {
        harness.holdsConnects = true;
        harness.sendRequest("one", UpstreamHarness.UNSAFE, null);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.updateEndpoint(EndpointState.READY, 1);
        // The list change reaches the endpoint's actor before the connection does.
        socket.allowConnect();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.UNREACHABLE);
        assertEquals(harness.counter(Counter.WRITTEN), 0);
    }

    /**
     * Returns the outcome of a second attempt after one that may have run. The second may begin within
     * {@code beginWithinUs} and its connection opens {@code afterUs} after it was sent.
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

    /** A retry whose connection opens after the window never runs. */
    @Test
    public void noRetryStartsAfterTheDeadlineOfItsPlan() {
        assertEquals(
                secondAttempt(UpstreamHarness.WINDOW_US, UpstreamHarness.WINDOW_US)
                        .result(),
                AttemptResult.UNREACHABLE);
        assertEquals(harness.counter(Counter.WRITTEN), 1);
    }

    /** A retry whose connection opens within the window is written. */
    @Test
    public void retryStartsBeforeTheDeadlineOfItsPlan() {
        assertEquals(
                secondAttempt(UpstreamHarness.WINDOW_US, UpstreamHarness.WINDOW_US / 2)
                        .result(),
                AttemptResult.ERROR);
        assertEquals(harness.counter(Counter.WRITTEN), 2);
    }

    /** A retry without a start deadline is written however late its connection opens. */
    @Test
    public void planWithoutDeadlineStartsAtAnyTime() {
        assertEquals(secondAttempt(0, UpstreamHarness.WINDOW_US).result(), AttemptResult.ERROR);
        assertEquals(harness.counter(Counter.WRITTEN), 2);
    }
}
