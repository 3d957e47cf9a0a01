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

/** A change of the list reaches the module however long clients keep the crew's threads in their writes. */
public class DiscoveryClientTurnTest {
    /** As many threads as a crew may have. */
    private static final int MOST_THREADS = 64;

    private static final int NODE = 7;
    private static final int DRAINING = 1;
    private static final int RECORD = 27;
    private static final int HEAD = Long.BYTES + 1;
    private static final long WAIT_S = 20;

    private final Counters counters = new Counters();
    private final CountDownLatch clientsRead = new CountDownLatch(1);
    private final BlockingQueue<EndpointInfo> members = new LinkedBlockingQueue<>();

    /** A connection whose client does not read what is written to it. */
    private final class StuckConnection extends Actor {
        StuckConnection() {
            super("stuck", 1, counters);
        }

        void write() {
            offer(() -> {
                try {
                    clientsRead.await();
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
                    members.add((EndpointInfo) member);
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

    private static void tellOfADrain(Socket connection) throws Exception {
        new DataInputStream(connection.getInputStream()).readLong();
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(HEAD + RECORD);
        out.writeLong(1);
        out.writeByte(2);
        out.writeInt(NODE);
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

    /** All threads of the crew sit in writes when the drain is told. */
    @Test
    public void aDrainIsHeardWhileAllThreadsOfTheCrewAreInWrites() throws Exception {
        WorkerPool crew = new WorkerPool();
        for (int i = 0; i < MOST_THREADS; i++) {
            StuckConnection stuck = new StuckConnection();
            stuck.start(crew);
            stuck.write();
        }
        Engine engine = engine();
        engine.start();
        try (ServerSocket board = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            DiscoveryClient reads = new DiscoveryClient(
                    (InetSocketAddress) board.getLocalSocketAddress(), 0, engine, () -> {}, counters);
            reads.start(crew);
            try (Socket connection = board.accept()) {
                tellOfADrain(connection);
                EndpointInfo told = members.poll(WAIT_S, TimeUnit.SECONDS);
                assertNotNull(told, "the drain waits for a thread");
                assertEquals(told.id() + " " + told.state(), NODE + " " + EndpointState.DRAINING);
            } finally {
                reads.close();
            }
        } finally {
            clientsRead.countDown();
            engine.shutDown(List.of());
        }
    }
}
