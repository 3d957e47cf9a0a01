import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Nobody reads the log of a front; then two new configurations move the notice board, and an object is purged. */
public final class UnreadLog {
    private static final long OBJECT = 0x1000;

    public static void main(String[] args) {
        Rig.main(args[0], UnreadLog::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.World world = new Rig.World();
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            nodes.add(rig.node(i, "east", "small-box", world));
        }
        nodes.add(rig.node(0x20, "central", "parent", world));
        nodes.add(rig.node(0x30, "central", "origin", world));
        String known = Rig.known(nodes.toArray(new Rig.Node[0]));
        Rig.Board board = rig.board();
        Rig.Settings settings = new Rig.Settings();
        settings.members = board.member();
        Rig.Front front = rig.front(
                        "n0", settings.config(known), "{}", trouble ? Map.of(Rig.UNREAD_LOG, "1") : Map.of())
                .awaitUp();
        churn(rig, front, trouble);
        Rig.Client client = rig.closing(rig.new Client(front, "c"));
        for (int i = 0; i < 2; i++) {
            client = follow(rig, front, client, 100 + 10 * i);
            Rig.Board next = board.next();
            settings.members = next.member();
            front.reconfigure(settings.config(known));
            board.retire();
            board = next;
            Rig.sleep(6_000);
        }
        // More than 4 s after SIGHUP, when all that the board has to tell counts as told.
        client = follow(rig, front, client, 200);
        board.purge(OBJECT, world.purge(OBJECT));
        byte[] now = world.mint(OBJECT, 0).body();
        Rig.sleep(1_000);
        int old = 0;
        int served = 0;
        for (int i = 0; i < 10; i++) {
            Rig.Answer answer = ask(client, 300 + i);
            if (answer != null && answer.word.equals("OK")) {
                served++;
                old += Arrays.equals(answer.body, now) ? 0 : 1;
            }
            Rig.sleep(200);
        }
        rig.say("served=" + served + " old=" + old);
        if (served == 0) {
            throw new Rig.NotRun("nothing was served after the purge");
        }
        return old == 0
                ? null
                : old + " of " + served + " answers, each asked for 1 s to 3 s after a purge, are from before it";
    }

    /** Clients that connect, ask how the front is and go, until nothing more fits into the log. */
    private static void churn(Rig rig, Rig.Front front, boolean trouble) throws Exception {
        long startedAt = Rig.now();
        long grownAt = startedAt;
        int last = 0;
        while (Rig.now() - startedAt < (trouble ? 60_000 : 20_000) && Rig.now() - grownAt < 4_000) {
            try (Rig.Client client = rig.new Client(front, "status")) {
                client.send("STATUS", "1", "");
                client.await(1, 500);
            }
            if (Rig.now() - startedAt > 28_000) {
                // A machine whose pipes hold more: lines on the front's state are not limited.
                front.admin("POST", "/admin/quiesce");
                front.admin("POST", "/admin/resume");
            } else {
                Rig.sleep(12);
            }
            int unread = trouble ? front.unreadLog() : 0;
            if (unread > last || !trouble) {
                last = unread;
                grownAt = Rig.now();
            }
        }
        rig.say("bytes of the log that nobody has read: " + last);
        if (trouble && Rig.now() - grownAt < 4_000) {
            throw new Rig.NotRun("the log took everything for 60 s");
        }
    }

    /** Clients close a connection after 4 s idle: a new one, over which the object is asked for. */
    private static Rig.Client follow(Rig rig, Rig.Front front, Rig.Client before, long tag) throws Exception {
        before.close();
        Rig.Client client = rig.closing(rig.new Client(front, "c" + tag));
        for (int i = 0; i < 3; i++) {
            ask(client, tag + i);
        }
        return client;
    }

    private static Rig.Answer ask(Rig.Client client, long tag) throws Exception {
        client.ask(tag, "video", OBJECT, 0, 6_000, "");
        return client.await(tag, 6_500);
    }
}
