import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Requests come while a front stands still for a moment; what becomes of them when it goes on. */
public final class PausedFrontRequests {
    private static final int ROUNDS = 8;
    /** Clients in use, each with so many requests open. */
    private static final int KEPT = 80;

    private static final int EACH = 30;
    /** Clients that have just connected, and clients that write their second request in two pieces. */
    private static final int NEW = 20;

    private static final int SLOW = 20;
    private static final int PATIENCE_MS = 6_000;
    /** The request that is looked at, on new connections and on those of slow writers. */
    private static final long TAG = 500;

    public static void main(String[] args) {
        Rig.main(args[0], PausedFrontRequests::run);
    }

    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.World world = new Rig.World();
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            nodes.add(rig.node(i, "east", "small-box", world));
        }
        nodes.add(rig.node(0x20, "central", "parent", world));
        nodes.add(rig.node(0x30, "central", "origin", world));
        Rig.Settings settings = new Rig.Settings();
        settings.members = rig.board().member();
        Rig.Front front = rig.front("n0", settings.config(Rig.known(nodes.toArray(new Rig.Node[0]))), "{}", Map.of())
                .awaitUp();
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            lost += round(rig, front, round, trouble);
        }
        return lost == 0
                ? null
                : lost + " requests were never answered: their connections ended while their clients still waited";
    }

    private static int round(Rig rig, Rig.Front front, int round, boolean trouble) throws Exception {
        List<Rig.Client> kept = clients(rig, front, "kept" + round, KEPT, true);
        List<Rig.Client> slow = clients(rig, front, "slow" + round, SLOW, true);
        List<Rig.Client> fresh = clients(rig, front, "new" + round, NEW, false);
        for (Rig.Client each : slow) {
            each.holdBack = 40;
            each.ask(TAG, "video", 0x1000, 0, PATIENCE_MS, "");
        }
        Rig.sleep(100);
        if (trouble) {
            front.signal("STOP");
        }
        Rig.sleep(200);
        for (int j = 0; j < EACH; j++) {
            for (int i = 0; i < KEPT; i++) {
                kept.get(i).ask(10 + j, "video", 0x1000 + (i + j) % KEPT, 0, PATIENCE_MS, "");
            }
        }
        for (Rig.Client each : slow) {
            each.rest();
        }
        for (Rig.Client each : fresh) {
            each.ask(TAG, "video", 0x1000, 0, PATIENCE_MS, "");
        }
        long writtenAt = Rig.now();
        Rig.sleep(2_400);
        if (trouble) {
            front.signal("CONT");
        }
        int lostSlow = lost(slow, TAG, writtenAt);
        int lostFresh = lost(fresh, TAG, writtenAt);
        int lostKept = 0;
        for (int j = 0; j < EACH; j++) {
            lostKept += lost(kept, 10 + j, writtenAt);
        }
        rig.say("round " + round + " lost: on new connections " + lostFresh + " of " + NEW + ", of slow writers "
                + lostSlow + " of " + SLOW + ", of the others " + lostKept + " of " + KEPT * EACH);
        for (List<Rig.Client> all : List.of(kept, slow, fresh)) {
            for (Rig.Client each : all) {
                each.close();
            }
        }
        Rig.sleep(200);
        return lostSlow + lostFresh + lostKept;
    }

    private static List<Rig.Client> clients(Rig rig, Rig.Front front, String name, int count, boolean served)
            throws Exception {
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(rig.closing(rig.new Client(front, name + "-" + i)));
            clients.get(i).dropsBodies = true;
            if (served) {
                clients.get(i).ask(1, "video", 0x1000 + i, 0, PATIENCE_MS, "");
                clients.get(i).await(1, PATIENCE_MS + 500);
            }
        }
        return clients;
    }

    /**
     * Requests without an answer whose connection ended before the client's patience was over. A request that crosses
     * the end of a connection within 50 ms is sent again by its client and does not count.
     */
    private static int lost(List<Rig.Client> clients, long tag, long writtenAt) {
        int lost = 0;
        for (Rig.Client each : clients) {
            boolean answered = each.await(tag, PATIENCE_MS + 500) != null;
            lost += !answered
                            && each.endedAt > writtenAt + 50
                            && each.endedAt < each.sent.get(tag) + PATIENCE_MS
                    ? 1
                    : 0;
        }
        return lost;
    }
}
