package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** After the wall clock went back, requests waited for time-outs that stood still: answers came seconds late. */
public class WallClockStepsTest {
    private static final int DEADLINE_MS = 1_000;
    private static final int CLIENTS = 6;
    private static final double HANGING = 0.05;
    private static final long WATCHED_MS = 4_000;

    @DataProvider
    Object[][] steps() {
        return new Object[][] {{-3_000L}, {-3_600_000L}, {5_000L}, {3_600_000L}};
    }

    /** Deadlines, time-outs and the drain are spans of real time: no request is late, and the rate stays. */
    @Test(dataProvider = "steps")
    public void aStepOfTheWallClockDelaysNoAnswer(long stepMs) throws Exception {
        try (TerminationRig rig = new TerminationRig(DEADLINE_MS, TerminationRig.Listener.OWN);
                Lateness lateness = new Lateness()) {
            FaultLibrary library = new FaultLibrary(FaultLibrary.folder());
            rig.environment(library.environment(""));
            ProcessHandle process = rig.startProcess();
            SteadyClient.Account account = new SteadyClient.Account();
            List<SteadyClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new SteadyClient(
                        rig.address(), new SteadyClient.Habit(10, 8, DEADLINE_MS, HANGING, false), account, i));
            }
            Thread.sleep(WATCHED_MS / 2);
            long before = account.answers();
            library.setClockOffset(stepMs);
            Thread.sleep(WATCHED_MS);
            long after = account.answers() - before;
            process.destroy();
            boolean ended = TerminationRig.awaitExit(process, TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS + 700));
            for (SteadyClient client : clients) {
                client.finish();
            }
            System.out.println("step of " + stepMs + " ms: " + before + " answers in half the time, then " + after
                    + "; " + account);
            assertEquals(account.lost(lateness.mostNs()), List.of());
            assertTrue(after > before, "answers before the step in 2 s: " + before + ", behind it in 4 s: " + after);
            assertTrue(ended, "it ends in the time that it has");
        }
    }
}
