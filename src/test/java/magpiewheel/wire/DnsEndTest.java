package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** At its end a process reset the TCP connections of resolvers over the queries that it had not read. */
public class DnsEndTest extends OneFront {
    private static final int RESOLVERS = 3;
    private static final int QUERIES_PER_BURST = 1_000;
    /** ns; a query that crosses the end of its connection within this time is the resolver's to repeat. */
    private static final long CROSSING_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** ms; the longest deadline of the settings, 3 s at most, plus 0.7 s. */
    private static final long KILLED_MS = 3_700;

    private static final int FLOOD_MS = 2_000;

    @Override
    String app() {
        return "{\"dns\":{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"zone\":\"jobs.example\"}}";
    }

    private static byte[] burst() {
        ByteArrayOutputStream burst = new ByteArrayOutputStream();
        byte[] query = Lookup.query("east.jobs.example", 1, false);
        for (int i = 0; i < QUERIES_PER_BURST; i++) {
            burst.write(0);
            burst.write(query.length);
            burst.writeBytes(query);
        }
        return burst.toByteArray();
    }

    /** A resolver that sends many queries at once, again and again, and reads all responses. */
    private static final class BurstResolver {
        private final Socket socket;
        private final Thread thread = new Thread(this::run);
        private final AtomicInteger answered = new AtomicInteger();
        private int unanswered;
        private long openNs;
        private IOException reset;

        BurstResolver(InetSocketAddress server) throws IOException {
            socket = new Socket(server.getAddress(), server.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Fleet.WAIT_MS);
            thread.setDaemon(true);
            thread.start();
        }

        private void run() {
            byte[] burst = burst();
            try (socket) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (true) {
                    long writtenNs = System.nanoTime();
                    socket.getOutputStream().write(burst);
                    for (unanswered = QUERIES_PER_BURST; unanswered > 0; unanswered--) {
                        openNs = System.nanoTime() - writtenNs;
                        in.skipNBytes(in.readUnsignedShort());
                        answered.incrementAndGet();
                    }
                }
            } catch (EOFException e) {
                // The orderly end of the stream.
            } catch (IOException e) {
                reset = e;
            }
        }
    }

    /** What has arrived is answered, and what crosses the end meets no reset that would take answers with it. */
    @Test
    public void resolversSeeAnOrderlyEnd() throws Exception {
        List<BurstResolver> resolvers = new ArrayList<>();
        for (int i = 0; i < RESOLVERS; i++) {
            resolvers.add(new BurstResolver(front.dns));
        }
        Fleet.until(
                "all are answered",
                () -> resolvers.stream().allMatch(each -> each.answered.get() > 10 * QUERIES_PER_BURST));
        client.close();
        front.process.toHandle().destroy();
        try (Lateness lateness = new Lateness()) {
            for (BurstResolver each : resolvers) {
                each.thread.join(Fleet.WAIT_MS);
                assertEquals(each.reset, null, each.unanswered + " queries were open");
                assertTrue(
                        each.unanswered == 0 || each.openNs < CROSSING_NS + lateness.mostNs(),
                        each.unanswered + " queries open for " + each.openNs + " ns had no response");
            }
        }
        assertTrue(front.process.waitFor(KILLED_MS, TimeUnit.MILLISECONDS), "it still runs: " + front.said);
    }

    /** A resolver that never reads its responses, however many wait for it, delays no end. */
    @Test
    public void aResolverThatNeverReadsHoldsNothing() throws Exception {
        try (Socket silent = new Socket()) {
            silent.setReceiveBufferSize(4_096);
            silent.connect(front.dns);
            Thread flood = new Thread(() -> {
                try {
                    while (true) {
                        silent.getOutputStream().write(burst());
                    }
                } catch (IOException e) {
                    // The router has closed the connection.
                }
            });
            flood.setDaemon(true);
            flood.start();
            Thread.sleep(FLOOD_MS);
            client.close();
            long termNs = System.nanoTime();
            front.process.toHandle().destroy();
            long leftNs = TimeUnit.MILLISECONDS.toNanos(KILLED_MS) - (System.nanoTime() - termNs);
            assertTrue(front.process.waitFor(leftNs, TimeUnit.NANOSECONDS), "it still runs: " + front.said);
        }
    }
}
