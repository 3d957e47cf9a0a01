package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Random upgrades and ends, by seed: clients use open connections until the kill at the earliest time, signals come in
 * series, and in some runs a crowd connects. By hand: {@code -Dsoak.first=1 -Dsoak.seeds=50}.
 */
public class TerminationSoakTest {
    private static final int SEEDS_IN_BUILD = 10;
    private static final int[] DEADLINES_MS = {300, 600, 1_000, 1_700, 2_500, 3_300, 5_000};
    private static final int CROWD = 60;

    @DataProvider
    Object[][] seeds() {
        return SoakSeeds.arguments(SEEDS_IN_BUILD);
    }

    /** What a run is like, all drawn from its seed. */
    private record Plan(int deadlineMs, TerminationRig.Listener listener, int processes, boolean crowd, int signals) {
        static Plan of(Random random) {
            boolean inherited = random.nextBoolean();
            return new Plan(
                    DEADLINES_MS[random.nextInt(DEADLINES_MS.length)],
                    inherited ? TerminationRig.Listener.INHERITED : TerminationRig.Listener.OWN,
                    inherited && random.nextInt(3) > 0 ? 2 : 1,
                    random.nextInt(3) == 0,
                    random.nextInt(4));
        }

        long killMs() {
            return Math.min(deadlineMs, 3_000) + 700;
        }
    }

    /** Whatever the seed draws: each request has its answer, and the process ends by itself before the kill. */
    @Test(dataProvider = "seeds")
    public void nothingThatWasReadIsLostAtAnEnd(long seed) throws Exception {
        Random random = new Random(seed);
        Plan plan = Plan.of(random);
        try (TerminationRig rig = new TerminationRig(plan.deadlineMs(), plan.listener());
                Lateness lateness = new Lateness()) {
            ProcessHandle first = rig.startProcess();
            SteadyClient.Account account = new SteadyClient.Account();
            List<SteadyClient> clients = startClients(rig, plan, random, account);
            Fleet.until("all ask", () -> account.asked.get() > 100);
            if (plan.processes() > 1) {
                rig.startProcess();
            }
            Thread.sleep(random.nextInt(300));
            boolean byItself = end(first, plan, random);
            for (SteadyClient client : clients) {
                client.finish();
            }
            System.out.println("seed " + seed + " " + plan + " late by " + lateness.mostNs() + " ns: " + account);
            assertEquals(account.lost(lateness.mostNs()), List.of(), "seed " + seed + " " + plan + " " + rig.logged());
            assertTrue(
                    byItself, "seed " + seed + " " + plan + ": it still ran when it could be killed " + rig.logged());
        }
    }

    private static List<SteadyClient> startClients(
            TerminationRig rig, Plan plan, Random random, SteadyClient.Account account) {
        List<SteadyClient> clients = new ArrayList<>();
        int count = plan.crowd() ? CROWD : 2 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            SteadyClient.Habit habit = new SteadyClient.Habit(
                    (plan.crowd() ? 40 : 2) + random.nextInt(30),
                    1 + random.nextInt(plan.crowd() ? 4 : 20),
                    plan.deadlineMs(),
                    random.nextBoolean() ? 0 : random.nextDouble() * 0.3,
                    plan.processes() > 1);
            clients.add(new SteadyClient(rig.address(), habit, account, random.nextLong()));
        }
        return clients;
    }

    /** Sends SIGTERM, more signals behind it, and SIGKILL at the earliest time; whether it ended before that. */
    private static boolean end(ProcessHandle process, Plan plan, Random random) throws Exception {
        long termNs = System.nanoTime();
        process.destroy();
        for (int i = 0; i < plan.signals(); i++) {
            Thread.sleep(random.nextInt(150));
            String signal = random.nextBoolean() ? "-TERM" : "-HUP";
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
        long leftNs = TimeUnit.MILLISECONDS.toNanos(plan.killMs()) - (System.nanoTime() - termNs);
        boolean byItself = TerminationRig.awaitExit(process, leftNs);
        process.destroyForcibly();
        return byItself;
    }
}
