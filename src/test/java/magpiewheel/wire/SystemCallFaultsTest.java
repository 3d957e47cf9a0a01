package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A new process ended when one socket call of its start failed; system calls may fail as Linux documents. */
public class SystemCallFaultsTest {
    private static final int DEADLINE_MS = 2_000;
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 200;

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {"ENOBUFS from every second socket call", "socket:105:2"},
            {"ENFILE from every second socket call", "socket:23:2"},
            {"ECONNABORTED from every second accept", "accept:103:2"},
            {"ENFILE from two of three accepts", "accept:23:2,socket:23:7"},
            {"EADDRNOTAVAIL from every fourth connect", "connect:99:4"},
            {"ENETUNREACH from every fourth connect", "connect:101:4"},
            {"ETIMEDOUT from one in twenty reads of a cache's connection", "broken:110:20"},
            {"EHOSTUNREACH from one in twenty reads of a cache's connection", "broken:113:20"},
            {"EINTR from every second wait", "poll:4:2"},
            {"short reads and writes on sockets", "read:0:2,write:0:2"},
        };
    }

    /** From the start of the process on, which serves all the same and loses nothing. */
    @Test(dataProvider = "faults")
    public void aProcessStartsAndServes(String what, String faults) throws Exception {
        try (TerminationRig rig = new TerminationRig(DEADLINE_MS, TerminationRig.Listener.OWN);
                Lateness lateness = new Lateness()) {
            rig.environment(new FaultLibrary(FaultLibrary.folder()).environment(faults));
            rig.startProcess();
            SteadyClient.Account account = new SteadyClient.Account();
            List<SteadyClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new SteadyClient(
                        rig.address(), new SteadyClient.Habit(5, 4, DEADLINE_MS, 0, true), account, i));
            }
            Fleet.until("requests under " + what, () -> account.asked.get() > REQUESTS);
            for (SteadyClient client : clients) {
                client.finish();
            }
            System.out.println(what + ": " + account);
            assertTrue(account.words.containsKey("OK"), "" + account);
            assertTrue(account.words.get("OK").get() > account.asked.get() / 2, "" + account);
            assertEquals(account.lost(lateness.mostNs()), List.of());
        }
    }
}
