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

/** Requests that are abandoned before a byte of them was written: nothing may be written afterwards. */
public class AbandonedRequestTest extends RespondingEndpointFixture {
    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** The next request is served, and it is the first that the endpoint receives. */
    private void assertOnlyNextRequestIsWritten() {
        harness.sendRequest("next", UpstreamHarness.PURE, null);
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.OK);
        assertTrue(UpstreamHarness.take(endpoint.lines).startsWith("serve next "));
    }

    /**
     * The policy is busy and the engine's mailbox full, so that the disconnect is not processed and nothing is
     * cancelled; the client disconnects; then the connection opens.
     */
    @Test
    public void disconnectWithFullMailboxStopsRequestWaitingForConnection() throws Exception {
        harness.holdsConnects = true;
        PendingRequest call = harness.sendRequest("left", UpstreamHarness.PURE, null);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        CountDownLatch policyMayContinue = new CountDownLatch(1);
        harness.onPeerMessage = (actions, message) -> await(policyMayContinue);
        while (harness.counter(Counter.PEER_DROPPED) == 0) {
            harness.engine.peerMessageReceived(1, new byte[0]);
        }
        Thread leaves = new Thread(() -> harness.engine.clientDisconnected(call));
        leaves.start();
        UpstreamHarness.awaitCondition("the client has left", call::abandoned);
        socket.allowConnect();
        UpstreamHarness.awaitCondition("the connection is up", socket::isConnected);
        policyMayContinue.countDown();
        leaves.join();
        AttemptOutcome outcome = UpstreamHarness.take(harness.outcomes);
        assertEquals(outcome.result(), AttemptResult.CANCELLED, "the endpoint is not at fault");
        assertTrue(outcome.requestCompleted());
        assertEquals(harness.disconnects.size(), 1);
        assertOnlyNextRequestIsWritten();
        assertEquals(harness.counter(Counter.DIALS), 1, "the connection that opened late carries it");
    }

    /** The client disconnects while the policy decides on a further attempt. */
    @Test
    public void noRetryIsWrittenAfterClientDisconnects() {
        endpoint.script((line, body) -> StandInNode.word(line, "WAIT"));
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        harness.onOutcome = (actions, outcome) -> {
            decides.countDown();
            await(left);
            actions.startAttempt(outcome.requestId(), UpstreamHarness.ENDPOINT_ID, UpstreamHarness.plan());
        };
        PendingRequest call = harness.sendRequest("left", UpstreamHarness.PURE, null);
        await(decides);
        call.abandon();
        left.countDown();
        assertEquals(UpstreamHarness.take(harness.outcomes).result(), AttemptResult.REJECTED);
        AttemptOutcome second = UpstreamHarness.take(harness.outcomes);
        assertEquals(second.attempt() + " " + second.result() + " " + second.requestCompleted(), "1 CANCELLED true");
        assertTrue(UpstreamHarness.take(endpoint.lines).startsWith("serve left "));
        assertEquals(harness.counter(Counter.WRITTEN), 1);
        harness.engine.clientDisconnected(call);
        assertEquals(harness.disconnects.size(), 1, "the policy is notified once");
    }

    /** The client disconnects while its request is queued for the policy: the policy never receives the request. */
    @Test
    public void policyNeverSeesRequestAbandonedWhileQueued() {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch policyMayContinue = new CountDownLatch(1);
        harness.onPeerMessage = (actions, message) -> {
            busy.countDown();
            await(policyMayContinue);
        };
        harness.engine.peerMessageReceived(1, new byte[0]);
        await(busy);
        PendingRequest call = harness.sendRequest("left", UpstreamHarness.PURE, harness.pool.acquire(10, 0));
        call.abandon();
        policyMayContinue.countDown();
        harness.engine.clientDisconnected(call);
        assertOnlyNextRequestIsWritten();
        assertEquals(harness.disconnects.size(), 0);
        assertEquals(harness.counter(Counter.GIVEN_UP_BY_CLIENT), 1);
        assertTrue(harness.answers.stream().allMatch(answer -> answer.outcome() == PendingRequest.Outcome.SERVED));
    }

    /**
     * An attempt cancelled while its connection opens never ran. If it were reported as one that may have run, an
     * unsafe request could be neither retried nor rejected.
     */
    @Test
    public void attemptCancelledDuringConnectIsReportedAsNeverRun() {
        harness.holdsConnects = true;
        harness.onPeerMessage = (actions, message) -> actions.cancelAttempt(1, 0);
        harness.sendRequest("called-off", UpstreamHarness.UNSAFE, null);
        ControlledSocket socket = UpstreamHarness.take(harness.sockets);
        harness.engine.peerMessageReceived(1, new byte[0]);
        AttemptOutcome outcome = UpstreamHarness.take(harness.outcomes);
        assertEquals(outcome.result(), AttemptResult.UNREACHABLE);
        assertTrue(outcome.result().neverRan && !outcome.requestCompleted());
        assertEquals(UpstreamHarness.take(harness.answers).outcome(), PendingRequest.Outcome.REJECTED);
        socket.allowConnect();
        harness.holdsConnects = false;
        UpstreamHarness.awaitCondition("the connection is up", socket::isConnected);
        assertOnlyNextRequestIsWritten();
    }
}
