import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Objects are purged while a front stands still; what it answers right after. */
public final class PausedFrontPurge {
    private static final int OBJECTS = 16;

    public static void main(String[] args) {
        Rig.main(args[0], PausedFrontPurge::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.World world = new Rig.World();
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            nodes.add(rig.node(i, "east", "small-box", world));
        }
        nodes.add(rig.node(0x20, "central", "parent", world));
        nodes.add(rig.node(0x30, "central", "origin", world));
        Rig.Board board = rig.board();
        Rig.Settings settings = new Rig.Settings();
        settings.members = board.member();
        Rig.Front front = rig.front("n0", settings.config(Rig.known(nodes.toArray(new Rig.Node[0]))), "{}", Map.of())
                .awaitUp();
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < OBJECTS; i++) {
            clients.add(rig.closing(rig.new Client(front, "c" + i)));
        }
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < OBJECTS; i++) {
                clients.get(i).ask(1 + round, "video", 0x1000 + i, 0, 6_000, "");
                clients.get(i).await(1 + round, 6_500);
            }
        }
        if (trouble) {
            front.signal("STOP");
        }
        Rig.sleep(100);
        long[] purged = new long[OBJECTS];
        for (int i = 0; i < OBJECTS; i++) {
            purged[i] = world.purge(0x1000 + i);
            board.purge(0x1000 + i, purged[i]);
        }
        Rig.sleep(600);
        for (int i = 0; i < OBJECTS; i++) {
            clients.get(i).ask(100, "video", 0x1000 + i, 0, 6_000, "");
        }
        Rig.sleep(200);
        if (trouble) {
            front.signal("CONT");
        }
        int old = 0;
        int served = 0;
        for (int i = 0; i < OBJECTS; i++) {
            Rig.Answer answer = clients.get(i).await(100, 6_500);
            if (answer == null || !answer.word.equals("OK")) {
                continue;
            }
            served++;
            if (!Arrays.equals(answer.body, world.mint(0x1000 + i, 0).body())) {
                old++;
                rig.say("object " + (0x1000 + i) + ": told of the purge at " + purged[i] + ", asked for "
                        + (clients.get(i).sent.get(100L) - purged[i])
                        + " ms later, answered from a copy of before the purge");
            }
        }
        rig.say("served=" + served + " old=" + old);
        if (served == 0) {
            throw new Rig.NotRun("nothing was served after the pause");
        }
        return old == 0
                ? null
                : old + " of " + served + " answers are from copies older than a purge told 0.6 s before the request";
    }
}
