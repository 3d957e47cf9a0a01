package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A process was killed, at the earliest moment that its deployment allows, with requests that it had read. */
public class KilledWithOpenRequestsTest {
    /** ms; SIGKILL may come this long after the longest deadline, which counts as 3 s at most. */
    private static final long KILL_AFTER_DEADLINE_MS = 700;

    private static final long LONGEST_COUNTED_MS = 3_000;
    private static final int CLIENTS = 6;
    /** Share of a client's requests that hang at one of two caches and at the origin. */
    private static final double HANGING = 0.15;

    @DataProvider
    Object[][] deployments() {
        List<Object[]> all = new ArrayList<>();
        for (int deadlineMs : new int[] {500, 900, 1_700, 3_400}) {
            all.add(new Object[] {deadlineMs, TerminationRig.Listener.OWN, 1});
            all.add(new Object[] {deadlineMs, TerminationRig.Listener.INHERITED, 1});
            all.add(new Object[] {deadlineMs, TerminationRig.Listener.INHERITED, 2});
        }
        return all.toArray(Object[][]::new);
    }

    /** Clients leave no gap on their connections, as one cache of two hangs on some of their requests. */
    @Test(dataProvider = "deployments")
    public void nothingThatWasReadIsOpenWhenTheProcessMayBeKilled(
            int deadlineMs, TerminationRig.Listener listener, int processes) throws Exception {
        long killMs = Math.min(deadlineMs, LONGEST_COUNTED_MS) + KILL_AFTER_DEADLINE_MS;
        try (TerminationRig rig = new TerminationRig(deadlineMs, listener);
                Lateness lateness = new Lateness()) {
            ProcessHandle first = rig.startProcess();
            SteadyClient.Account account = new SteadyClient.Account();
            List<SteadyClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SteadyClient.Habit habit =
                        new SteadyClient.Habit(3 + 4 * i, 4 + 3 * i, deadlineMs, i == 0 ? 0 : HANGING, processes > 1);
                clients.add(new SteadyClient(rig.address(), habit, account, i));
            }
            Fleet.until("all ask", () -> account.asked.get() > 100);
            if (processes > 1) {
                rig.startProcess();
            }
            long term = System.nanoTime();
            first.destroy();
            long leftNs = TimeUnit.MILLISECONDS.toNanos(killMs) - (System.nanoTime() - term);
            boolean byItself = TerminationRig.awaitExit(first, leftNs);
            long endedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - term);
            first.destroyForcibly();
            for (SteadyClient client : clients) {
                client.finish();
            }
            System.out.println((byItself ? "ended by itself after " : "killed after ") + endedMs + " ms; " + account);
            assertTrue(account.words.containsKey("OK"), "" + account);
            assertEquals(account.lost(lateness.mostNs()), List.of(), "machine late by " + lateness.mostNs() + " ns");
            Fleet.until(
                    "it says how it ended",
                    () -> rig.logged().stream().anyMatch(line -> line.contains("process=ended reason=")));
            assertTrue(byItself, "it still ran when it could be killed: " + rig.logged());
        }
    }

    /** A process still ran when it could be killed, as halting it waited for a client that had not closed its side. */
    @Test
    public void aClientThatKeepsItsSideOpenDelaysNoEnd() throws Exception {
        int deadlineMs = 1_700;
        try (TerminationRig rig = new TerminationRig(deadlineMs, TerminationRig.Listener.INHERITED)) {
            ProcessHandle process = rig.startProcess();
            try (Client client = new Client(rig.address())) {
                client.ask(1, "static", "eeeeeeee00000001", deadlineMs, "");
                Fleet.until("it is at a cache", () -> !rig.arrivals().isEmpty());
                long term = System.nanoTime();
                process.destroy();
                Thread.sleep(deadlineMs / 2);
                client.ask(2, "static", "eeeeeeee00000003", deadlineMs, "");
                while (client.answer() != null) {
                    Thread.onSpinWait();
                }
                long leftNs = TimeUnit.MILLISECONDS.toNanos(deadlineMs + KILL_AFTER_DEADLINE_MS);
                boolean byItself = TerminationRig.awaitExit(process, leftNs - (System.nanoTime() - term));
                assertTrue(byItself, "it still ran when it could be killed: " + rig.logged());
            }
            Fleet.until(
                    "its time ran out",
                    () -> rig.logged().stream().anyMatch(line -> line.contains("process=ended reason=time-is-up")));
        }
    }
}
