package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What caches may see of a request: nothing after its client has gone, and no more time than its client has left. */
public class RequestRulesTest {
    private static final int DEADLINE_MS = 1_500;
    private static final int REQUESTS = 150;
    private static final long BEGIN_AFTER_GONE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LIMIT_ABOVE_LEFT_MS = 150;

    private record Sent(long atNs, int patienceMs, long goneNs) {}

    /** Each client cancels or closes after a moment, while a cache hangs on its request. */
    @Test
    public void noAttemptBeginsForAClientThatHasGoneNorWithMoreTimeThanItHas() throws Exception {
        Random random = new Random(1);
        Map<String, Sent> sent = new HashMap<>();
        List<Client> clients = new ArrayList<>();
        try (TerminationRig rig = new TerminationRig(DEADLINE_MS, TerminationRig.Listener.OWN);
                Lateness lateness = new Lateness()) {
            rig.startProcess();
            for (int tag = 1; tag <= REQUESTS; tag++) {
                Client client = new Client(rig.address());
                clients.add(client);
                int patienceMs = 50 + random.nextInt(DEADLINE_MS);
                long atNs = System.nanoTime();
                client.ask(tag, "static", String.format("ffffffff%08x", random.nextInt(20) + 1), patienceMs, "");
                Thread.sleep(random.nextInt(40));
                boolean goes = random.nextInt(3) > 0;
                if (goes && random.nextBoolean()) {
                    client.send("NEVERMIND", tag);
                } else if (goes) {
                    client.close();
                }
                sent.put(String.format("%016x", tag), new Sent(atNs, patienceMs, goes ? System.nanoTime() : 0));
            }
            Thread.sleep(DEADLINE_MS);
            List<String> broken = new ArrayList<>();
            for (TerminationRig.Arrival arrival : rig.arrivals()) {
                Sent request = sent.get(arrival.field("id"));
                if (request != null) {
                    check(request, arrival, lateness.mostNs(), broken);
                }
            }
            assertTrue(rig.arrivals().size() > REQUESTS / 2, "requests reach the caches");
            assertEquals(broken, List.of(), "machine late by " + lateness.mostNs() + " ns");
        }
        for (Client client : clients) {
            client.close();
        }
    }

    private static void check(Sent request, TerminationRig.Arrival arrival, long lateNs, List<String> broken) {
        if (request.goneNs() != 0 && arrival.atNs() - request.goneNs() > BEGIN_AFTER_GONE_NS + lateNs) {
            broken.add("began " + (arrival.atNs() - request.goneNs()) / 1_000_000 + " ms after its client had gone");
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(arrival.atNs() - request.atNs() - lateNs);
        long limitMs = Long.parseLong(arrival.field("limit"));
        if (limitMs > request.patienceMs() - elapsedMs + LIMIT_ABOVE_LEFT_MS) {
            broken.add("limit " + limitMs + " of " + request.patienceMs() + " after " + elapsedMs + " ms");
        }
    }
}
