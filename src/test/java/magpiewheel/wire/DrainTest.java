package magpiewheel.wire;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiewheel.wire.ScriptedBoard.Node;
import magpiewheel.wire.ScriptedBoard.Watch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An attempt that waits for a connection while its node, or the source of its fill, begins to drain. */
public class DrainTest {
    private static final int LATE = 1;
    private static final int SECOND = 2;
    private static final int ORIGIN = 0xf0000009;
    private static final int PROBE_MS = 300;

    /** A node whose connections do not come up until it is told so: nobody takes those that fill its queue. */
    private static final class LateNode implements AutoCloseable {
        final List<String> lines = new CopyOnWriteArrayList<>();
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> fillers = new ArrayList<>();

        LateNode() throws IOException {
            for (boolean full = false; !full; ) {
                Socket filler = new Socket();
                try {
                    filler.connect(address(), PROBE_MS);
                    fillers.add(filler);
                } catch (SocketTimeoutException e) {
                    full = true;
                    filler.close();
                }
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        /** From now on connections come up; it answers nothing. */
        void letUp() {
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> read(socket));
                }
            });
        }

        private void read(Socket socket) throws IOException {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.add(line);
            }
        }

        private interface Work {
            void run() throws IOException;
        }

        private static void daemon(Work work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (IOException e) {
                    // The other side has ended the connection, or the test has.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    private Fleet fleet;
    private ScriptedBoard board;
    private LateNode late;
    private StandInNode second;

    @BeforeMethod
    void open() throws Exception {
        fleet = new Fleet();
        board = new ScriptedBoard();
        late = new LateNode();
        second = new StandInNode((line, body) -> StandInNode.done(line, OneFront.HIT, new byte[100]));
    }

    @AfterMethod(alwaysRun = true)
    void close() throws Exception {
        fleet.close();
        board.close();
        late.close();
        second.close();
    }

    @DataProvider
    Object[][] states() {
        return new Object[][] {{ScriptedBoard.DRAINING}, {ScriptedBoard.GONE}};
    }

    /** A connection may take longer to come up than a node that drains may still be sent to. */
    @Test(dataProvider = "states")
    public void nothingIsWrittenToANodeThatBeganToDrainBeforeItsConnectionCameUp(int state) throws Exception {
        String config = Fleet.config(
                        "127.0.0.1:0",
                        0,
                        1,
                        board.member(),
                        Fleet.node("s-00000001", late.address(), "east", "box"),
                        Fleet.node("s-f0000009", second.address(), "central", "origin"))
                .replace("\"dial_timeout_us\":400000", "\"dial_timeout_us\":20000000")
                .replace("\"drain_grace_us\":500000", "\"drain_grace_us\":1000");
        Fleet.Front front = fleet.front("n0", config, "{}");
        try (Watch watch = board.accept();
                Client client = new Client(front.address);
                Client asker = new Client(front.address)) {
            asker.send("STATUS", 1, "");
            asker.answer();
            client.ask(1, "video", "0000000000000005", Client.PATIENT_MS, "");
            OneFront.awaitCounter(asker, "dials=1");
            watch.list(
                    2,
                    ScriptedBoard.KIND_CHANGES,
                    new Node(LATE, late.address(), state, 0),
                    Node.cache(SECOND, second, ScriptedBoard.READY),
                    Node.origin(ORIGIN, second));
            OneFront.awaitCounter(asker, "board_events=1");
            // Served by the other node, so the list has been applied.
            asker.ask(2, "video", "0000000000000006", Client.PATIENT_MS, "");
            assertEquals(asker.answer().word(), "OK");
            late.letUp();
            String word = client.answer().word();
            assertEquals(late.lines, List.of(), "written late");
            assertEquals(word, "OK", "by the other node");
        }
    }
}
