package magpiewheel.wire;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.SkipException;
import org.testng.annotations.Test;

/** During an upgrade the memory limit of a configuration holds for both processes together. */
public class UpgradeMemoryTest {
    /** MB; the deploy page's limit on scored days. */
    private static final long LIMIT_MB = 192;

    private static final int CLIENTS = 60;

    /** Two processes under a crowd, from the start of the second until both have served. */
    @Test
    public void twoProcessesTogetherKeepToTheLimit() throws Exception {
        try (TerminationRig rig = new TerminationRig(1_700, TerminationRig.Listener.INHERITED)) {
            ProcessHandle first = rig.startProcess();
            SteadyClient.Account account = new SteadyClient.Account();
            List<SteadyClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SteadyClient.Habit habit = new SteadyClient.Habit(20, 4, 1_700, 0.05, true);
                clients.add(new SteadyClient(rig.address(), habit, account, i));
            }
            Fleet.until("all ask", () -> account.asked.get() > 3_000);
            ProcessHandle second = rig.startProcess();
            for (int i = 0; i < CLIENTS; i++) {
                SteadyClient.Habit habit = new SteadyClient.Habit(20, 4, 1_700, 0.05, true);
                clients.add(new SteadyClient(rig.address(), habit, account, i));
            }
            Fleet.until("all ask on", () -> account.asked.get() > 12_000);
            long peakMb = peakMb(first) + peakMb(second);
            System.out.println("peak of both processes: " + peakMb + " MB; " + account.asked + " asked");
            for (SteadyClient client : clients) {
                client.close();
            }
            assertTrue(peakMb <= LIMIT_MB, peakMb + " MB");
        }
    }

    private static long peakMb(ProcessHandle process) throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        if (!Files.exists(status)) {
            throw new SkipException("no /proc here");
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")) / 1_024)
                .findFirst()
                .orElseThrow();
    }
}
