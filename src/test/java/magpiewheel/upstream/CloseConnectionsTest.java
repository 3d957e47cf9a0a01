package magpiewheel.upstream;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import magpiewheel.upstream.ScriptedEndpoint.Connection;
import org.testng.annotations.Test;

/**
 * Guards against a process that is still there when it may be killed: halting waits 0.3 s for threads that are blocked
 * in a socket call, and closing the connections to endpoints was left to their actors, which may run too late.
 */
public class CloseConnectionsTest extends ScriptedEndpointFixture {
    /** One connection carries a request, another is being opened; both are closed, and at once. */
    @Test
    public void allConnectionsAreClosedWhileTheEndpointsActorIsBusy() throws Exception {
        harness.sendRequest("one", UpstreamHarness.PURE, null);
        try (Connection connection = endpoint.accept()) {
            assertTrue(connection.next().startsWith("serve one "));
            ControlledSocket socket = UpstreamHarness.take(harness.sockets);
            CountDownLatch busy = new CountDownLatch(1);
            CountDownLatch mayGoOn = new CountDownLatch(1);
            harness.onSocketCreated = () -> {
                busy.countDown();
                awaitLatch(mayGoOn);
            };
            harness.sendRequest("two", UpstreamHarness.PURE, null);
            busy.await();
            assertFalse(socket.isClosed());
            harness.closeConnections();
            assertTrue(socket.isClosed(), "closed on the calling thread");
            mayGoOn.countDown();
            ControlledSocket late = UpstreamHarness.take(harness.sockets);
            UpstreamHarness.awaitCondition("a connection that is opened afterwards is closed", late::isClosed);
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
