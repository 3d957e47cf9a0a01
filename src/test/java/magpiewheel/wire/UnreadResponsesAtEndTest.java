package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A process ended and dropped the answers that clients of 1 MB a second had still to read. */
public class UnreadResponsesAtEndTest {
    private static final int SEEDS_IN_BUILD = 5;
    private static final int[] DEADLINES_MS = {300, 700, 1_700, 3_300, 5_000};
    private static final int NON_READERS = 12;
    /** ns; what a process may take to end once nobody reads any more. */
    private static final long END_NS = TimeUnit.SECONDS.toNanos(5);

    @DataProvider
    Object[][] ends() {
        return new Object[][] {
            {5_000, TerminationRig.Listener.OWN, 1, List.of()},
            {500, TerminationRig.Listener.OWN, 1, List.of("TERM", "HUP", "TERM", "HUP")},
            {1_700, TerminationRig.Listener.INHERITED, 2, List.of("HUP")},
        };
    }

    /** Every answer to what was asked before SIGTERM is read whole, and then the process ends by itself. */
    @Test(dataProvider = "ends")
    public void slowReadersGetTheirAnswers(
            int deadlineMs, TerminationRig.Listener listener, int processes, List<String> signals) throws Exception {
        try (TerminationRig rig = new TerminationRig(deadlineMs, listener)) {
            ProcessHandle process = rig.startProcess();
            List<SlowReader> readers = startReaders(rig, 2, SlowReader.MOST_REQUESTS);
            if (processes > 1) {
                rig.startProcess();
            }
            process.destroy();
            for (String signal : signals) {
                Thread.sleep(100);
                signal(process, signal);
            }
            assertAllServed(rig, process, readers, SlowReader.MOST_REQUESTS);
        }
    }

    @DataProvider
    Object[][] seeds() {
        return SoakSeeds.arguments(SEEDS_IN_BUILD);
    }

    /**
     * Every request gets a whole answer, by seed: deadlines, listeners, upgrades, slow readers, clients that never
     * read, and signals. By hand: {@code -Dsoak.first=1 -Dsoak.seeds=40}.
     */
    @Test(dataProvider = "seeds")
    public void slowReadersGetTheirAnswersWhateverTheSeed(long seed) throws Exception {
        Random random = new Random(seed);
        int deadlineMs = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        boolean inherited = random.nextBoolean();
        int requests = 8 + random.nextInt(SlowReader.MOST_REQUESTS - 7);
        try (TerminationRig rig = new TerminationRig(
                deadlineMs, inherited ? TerminationRig.Listener.INHERITED : TerminationRig.Listener.OWN)) {
            ProcessHandle process = rig.startProcess();
            List<SlowReader> silent = startNonReaders(rig, random.nextInt(3));
            List<SlowReader> readers = startReaders(rig, 1 + random.nextInt(3), requests);
            if (inherited && random.nextInt(3) > 0) {
                rig.startProcess();
            }
            System.out.println("seed " + seed + ": deadline " + deadlineMs + " ms, inherited " + inherited + ", "
                    + readers.size() + " readers of " + requests + " answers, " + silent.size() + " that never read");
            process.destroy();
            for (int i = random.nextInt(4); i > 0; i--) {
                Thread.sleep(random.nextInt(400));
                signal(process, random.nextBoolean() ? "TERM" : "HUP");
            }
            // Beside clients that hold the buffers some requests may be rejected: that is an answer, too.
            for (SlowReader reader : readers) {
                assertEquals(reader.answered(), requests, reader + " " + rig.logged());
            }
            assertEnds(rig, process);
            System.out.println("seed " + seed + ": " + readers);
            for (SlowReader each : silent) {
                each.close();
            }
        }
    }

    /** Clients that never read delay no end, and lose their connections at once while others still read. */
    @Test
    public void clientsThatNeverReadHoldNothing() throws Exception {
        int deadlineMs = 3_000;
        try (TerminationRig rig = new TerminationRig(deadlineMs, TerminationRig.Listener.OWN)) {
            ProcessHandle process = rig.startProcess();
            List<SlowReader> silent = startNonReaders(rig, NON_READERS);
            process.destroy();
            assertTrue(
                    TerminationRig.awaitExit(process, TimeUnit.MILLISECONDS.toNanos(deadlineMs + 700)),
                    "it still ran when it could be killed: " + rig.logged());
            for (SlowReader each : silent) {
                each.close();
            }
        }
    }

    /** Beside a slow reader, one that never reads is left when the process has ended its other work. */
    @Test
    public void aClientThatNeverReadsIsNotHeldBesideOneThatDoes() throws Exception {
        try (TerminationRig rig = new TerminationRig(1_000, TerminationRig.Listener.OWN)) {
            ProcessHandle process = rig.startProcess();
            List<SlowReader> silent = startNonReaders(rig, 1);
            List<SlowReader> readers = startReaders(rig, 1, SlowReader.MOST_REQUESTS);
            process.destroy();
            Fleet.until("the process waits", () -> logged(rig, "process=waiting"));
            Fleet.until(
                    "the other is left",
                    () -> rig.logged().stream()
                            .anyMatch(line -> line.contains("reason=shutdown-deadline") && !line.contains("unread=0")));
            assertTrue(process.isAlive(), "it waits for the one that reads: " + rig.logged());
            assertAllServed(rig, process, readers, SlowReader.MOST_REQUESTS);
            silent.get(0).close();
        }
    }

    /** A request that comes behind unread answers, while the process waits for them, is answered, too. */
    @Test
    public void whatIsAskedBehindUnreadAnswersIsRejected() throws Exception {
        try (TerminationRig rig = new TerminationRig(1_000, TerminationRig.Listener.OWN)) {
            ProcessHandle process = rig.startProcess();
            List<SlowReader> readers = startReaders(rig, 1, SlowReader.MOST_REQUESTS);
            process.destroy();
            Fleet.until("the process waits", () -> logged(rig, "process=waiting"));
            readers.get(0).askAgain();
            assertAllServed(rig, process, readers, SlowReader.MOST_REQUESTS);
            assertEquals(readers.get(0).rejected(), 1, "" + rig.logged());
        }
    }

    private static void assertAllServed(
            TerminationRig rig, ProcessHandle process, List<SlowReader> readers, int requests) throws Exception {
        for (SlowReader reader : readers) {
            assertEquals(reader.served(), requests, reader + " " + rig.logged());
        }
        assertEnds(rig, process);
    }

    private static void assertEnds(TerminationRig rig, ProcessHandle process) throws InterruptedException {
        assertTrue(TerminationRig.awaitExit(process, END_NS), "it still runs: " + rig.logged());
    }

    private static boolean logged(TerminationRig rig, String words) {
        return rig.logged().stream().anyMatch(line -> line.contains(words));
    }

    /** Clients that have asked, and never read. */
    private static List<SlowReader> startNonReaders(TerminationRig rig, int count) throws Exception {
        List<SlowReader> silent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SlowReader each = new SlowReader(rig.address(), SlowReader.MOST_REQUESTS);
            each.ask();
            silent.add(each);
        }
        return silent;
    }

    /** Clients that have asked, and read since. */
    private static List<SlowReader> startReaders(TerminationRig rig, int count, int requests) throws Exception {
        List<SlowReader> readers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            SlowReader reader = new SlowReader(rig.address(), requests);
            reader.ask();
            reader.startReading();
            readers.add(reader);
        }
        Fleet.until(
                "all is at the caches",
                () -> rig.arrivals().stream()
                                .map(arrival -> arrival.field("item"))
                                .filter(item -> item.startsWith("dddddddd"))
                                .distinct()
                                .count()
                        >= requests);
        return readers;
    }

    private static void signal(ProcessHandle process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }
}
