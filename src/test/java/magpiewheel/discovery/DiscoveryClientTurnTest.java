package magpiewheel.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EngineStubs;
import magpiewheel.engine.ResponseCache;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointState;
import magpiewheel.routing.RoutingPolicy;
import org.testng.annotations.Test;

/** A change of the endpoint list reaches the policy even while all worker threads are blocked in writes to clients. */
public class DiscoveryClientTurnTest {
    /** The largest number of threads of a worker pool. */
    private static final int MAX_WORKER_THREADS = 64;

    private static final int ENDPOINT_ID = 7;
    private static final int DRAINING = 1;
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = Long.BYTES + 1;
    private static final long TIMEOUT_S = 20;

    private final Counters counters = new Counters();
    private final CountDownLatch writesMayFinish = new CountDownLatch(1);
    private final BlockingQueue<EndpointInfo> endpointUpdates = new LinkedBlockingQueue<>();

    /** A connection whose client does not read, so that writes to it block. */
    private final class BlockedConnection extends Actor {
        BlockedConnection() {
            super("stuck", 1, counters);
        }

        void write() {
            offer(() -> {
                try {
                    writesMayFinish.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private RoutingPolicy module() {
        return EngineStubs.routingPolicy((method, arguments) -> {
            if (method.equals("endpointsChanged")) {
                for (Object member : (List<?>) arguments[2]) {
                    endpointUpdates.add((EndpointInfo) member);
                }
            }
            return null;
        });
    }

    private Engine engine() {
        return new Engine(
                EngineStubs.settings(),
                actions -> module(),
                new UnixClock(),
                counters,
                EngineStubs.recordingUpstream(new ArrayList<>()),
                (to, message) -> {},
                new ResponseCache(1, 1, 1));
    }

    private static void sendDrainEvent(Socket connection) throws Exception {
        new DataInputStream(connection.getInputStream()).readLong();
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(HEADER_BYTES + RECORD_BYTES);
        out.writeLong(1);
        out.writeByte(2);
        out.writeInt(ENDPOINT_ID);
        out.writeInt(0x7f000001);
        out.writeShort(1);
        out.writeByte(DRAINING);
        out.writeByte(0);
        out.writeByte(0);
        out.writeShort(0);
        out.writeInt(1_000);
        out.writeLong(0);
        out.flush();
    }

    /** All worker threads are blocked in writes when the drain event arrives. */
    @Test
    public void drainIsAppliedWhileAllWorkersAreBlockedInWrites() throws Exception {
        WorkerPool workers = new WorkerPool();
        for (int i = 0; i < MAX_WORKER_THREADS; i++) {
            BlockedConnection blocked = new BlockedConnection();
            blocked.start(workers);
            blocked.write();
        }
        Engine engine = engine();
        engine.start();
        try (ServerSocket discoveryServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            DiscoveryClient client = new DiscoveryClient(
                    (InetSocketAddress) discoveryServer.getLocalSocketAddress(), 0, engine, () -> {}, counters);
            client.start(workers);
            try (Socket connection = discoveryServer.accept()) {
                sendDrainEvent(connection);
                EndpointInfo update = endpointUpdates.poll(TIMEOUT_S, TimeUnit.SECONDS);
                assertNotNull(update, "the drain event was not applied while all workers were blocked");
                assertEquals(update.id() + " " + update.state(), ENDPOINT_ID + " " + EndpointState.DRAINING);
            } finally {
                client.close();
            }
        } finally {
            writesMayFinish.countDown();
            engine.shutDown(List.of());
        }
    }
}
