package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Counter;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.EndpointState;
import magpiewheel.wire.StandInNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Connections that open late or never: no attempt waits for one beyond the time in which its plan lets it begin. Only
 * the test advances the clock, so that a slow machine changes no result.
 */
public class BeginDeadlineTest {
    private static final long BEGIN_WITHIN_US = TimeUnit.MILLISECONDS.toMicros(200);

    private StandInNode endpoint;
    private UpstreamHarness harness;

    /** Starts an endpoint that answers at once; connections open when the test allows it, and the clock is fixed. */
    @BeforeMethod
    public void start() throws IOException {
        endpoint = new StandInNode((line, body) -> StandInNode.done(line, "tell=hit,tag=aa,minted=1", new byte[10]));
        harness = new UpstreamHarness(endpoint.address(), InstantSource.fixed(Instant.now()));
        harness.holdsConnects = true;
        harness.startWithinUs = BEGIN_WITHIN_US;
    }

    /** Stops the engine and the endpoint. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        harness.close();
        endpoint.close();
    }

    private void assertUnreachable() {
        AttemptOutcome outcome = UpstreamHarness.take(harness.outcomes);
        assertEquals(outcome.result(), AttemptResult.UNREACHABLE);
        assertTrue(outcome.result().neverRan && !outcome.requestCompleted(), "the request may be sent elsewhere");
    }

    private void assertServed(String trace) {
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertTrue(UpstreamHarness.take(endpoint.lines).startsWith("serve " + trace + " "));
    }

    /** The connection opens after the start deadline: the attempt is not written, the next request may use it. */
    @Test
    public void nothingIsWrittenAfterTheStartDeadline() {
        harness.sendRequest("late", UpstreamHarness.UNSAFE, null);
        ControlledSocket slow = UpstreamHarness.take(harness.sockets);
        harness.advanceClock(BEGIN_WITHIN_US);
        assertUnreachable();
        slow.allowConnect();
        UpstreamHarness.awaitCondition("the connection is up", slow::isConnected);
        harness.sendRequest("next", UpstreamHarness.PURE, null);
        assertServed("next");
        assertEquals(harness.counter(Counter.WRITTEN), 1);
    }

    /** The connection never opens: the attempt ends in time for the request to be sent elsewhere. */
    @Test
    public void attemptEndsAtStartDeadlineIfConnectionNeverOpens() {
        harness.sendRequest("never", UpstreamHarness.PURE, null);
        UpstreamHarness.take(harness.sockets);
        harness.advanceClock(BEGIN_WITHIN_US);
        assertUnreachable();
        assertEquals(harness.counter(Counter.WRITTEN), 0);
    }

    /** At half of the time a second connection is opened and carries the attempt; the first serves the next request. */
    @Test
    public void secondConnectionOpensAtHalfOfTheStartDeadline() {
        harness.sendRequest("first", UpstreamHarness.PURE, null);
        ControlledSocket slow = UpstreamHarness.take(harness.sockets);
        harness.holdsConnects = false;
        harness.advanceClock(BEGIN_WITHIN_US / 2);
        UpstreamHarness.take(harness.sockets);
        assertServed("first");
        slow.allowConnect();
        harness.sendRequest("second", UpstreamHarness.PURE, null);
        assertServed("second");
        assertEquals(harness.counter(Counter.DIALS), 2);
    }

    /**
     * A router with a long mailbox sent to a cache 0.7 s after discovery had told it that the cache drains: an attempt
     * is not written even if the engine has not come to the list yet.
     */
    @Test
    public void nothingIsWrittenToADrainingEndpointWhileTheEngineIsBusy() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        CountDownLatch busy = new CountDownLatch(1);
        harness.onPeerMessage = (actions, message) -> {
            busy.countDown();
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        harness.sendRequest("waits", UpstreamHarness.PURE, null);
        ControlledSocket slow = UpstreamHarness.take(harness.sockets);
        harness.engine.peerMessageReceived(1, new byte[0]);
        busy.await();
        harness.reportEndpoint(EndpointState.DRAINING, 0);
        slow.allowConnect();
        UpstreamHarness.awaitCondition("the connection is up", slow::isConnected);
        Thread.sleep(100);
        assertEquals(harness.counter(Counter.WRITTEN), 0);
        goOn.countDown();
        assertUnreachable();
    }
}
