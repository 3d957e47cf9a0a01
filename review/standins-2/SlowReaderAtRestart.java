import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A planned restart while a client reads its answers at 1 MB a second. */
public final class SlowReaderAtRestart {
    private static final int ASKED = 28;
    private static final int BYTES = 240_000;
    private static final int PATIENCE_MS = 6_000;
    private static final long FIRST = 1_000;

    public static void main(String[] args) {
        Rig.main(args[0], SlowReaderAtRestart::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.World world = new Rig.World();
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            nodes.add(rig.node(i, "east", "small-box", world));
        }
        nodes.add(rig.node(0x20, "central", "parent", world));
        nodes.add(rig.node(0x21, "central", "parent", world));
        nodes.add(rig.node(0x30, "central", "origin", world));
        Rig.Board board = rig.board();
        Rig.Settings settings = new Rig.Settings();
        settings.members = board.member();
        Rig.Front front = rig.front("n0", settings.config(Rig.known(nodes.toArray(new Rig.Node[0]))), "{}", Map.of())
                .awaitUp();
        // Earlier requests, one after another: the client is known to the front, and the objects are in the caches.
        Rig.Client client = rig.closing(rig.new Client(front, "slow", 1_000_000, 0));
        Rig.Client other = rig.closing(rig.new Client(front, "other"));
        for (int i = 0; i < ASKED; i++) {
            world.size(0x1000 + i, BYTES);
            other.ask(1 + i, "video", 0x1000 + i, 0, PATIENCE_MS, "");
            other.await(1 + i, PATIENCE_MS + 500);
            client.ask(1 + i, "static", 0x9000 + i, 0, 3_000, "");
            if (client.await(1 + i, 3_500) == null) {
                throw new Rig.NotRun("no answer before the restart");
            }
        }
        other.close();
        for (int i = 0; i < ASKED; i++) {
            client.ask(FIRST + i, "video", 0x1000 + i, 0, PATIENCE_MS, "");
        }
        Rig.sleep(200);
        if (trouble) {
            front.signal("TERM");
        }
        // The platform may send SIGKILL 3.7 s after SIGTERM or later: here it would come after 15 s.
        long killAt = Rig.now() + 15_000;
        while (Rig.now() < killAt && client.endedAt == 0 && open(client).size() > 0) {
            Rig.sleep(20);
        }
        if (!trouble && client.endedAt == 0 && open(client).isEmpty()) {
            return null;
        }
        List<Long> open = open(client);
        rig.say("asked=" + ASKED + " without a whole answer=" + open.size() + " connection ended=" + client.endedAt
                + " front runs=" + front.process.isAlive());
        // What the front had begun to pass on is excused: one answer at most, as the others wait behind it.
        int begun = client.end.contains("cut off") ? 1 : 0;
        int lost = 0;
        for (long tag : open) {
            lost += client.endedAt != 0 && client.endedAt < client.sent.get(tag) + PATIENCE_MS ? 1 : 0;
        }
        lost -= Math.min(lost, begun);
        return lost == 0
                ? null
                : lost + " of " + ASKED + " requests taken before SIGTERM were never answered: the connection ended while "
                        + "their clients still waited";
    }

    private static List<Long> open(Rig.Client client) {
        List<Long> open = new ArrayList<>();
        for (long tag = FIRST; tag < FIRST + ASKED; tag++) {
            if (!client.answers.containsKey(tag)) {
                open.add(tag);
            }
        }
        return open;
    }
}
