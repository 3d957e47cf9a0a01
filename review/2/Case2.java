import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A keyed class whose keys are known within a cell of two cache nodes. The processes of one cell, two of ten cache
 * nodes, die while one of them works on a request of that class; where does the front send the request next?
 */
final class Case2 {
    private static final int CACHES = 10;
    private static final int CELL_SIZE = 2;
    private static final int REQUESTS = 60;
    /** The how-manyth request that is worked on when its cell dies. */
    private static final int FATAL = 10;
    private static final long WINDOW_MS = 6_000;
    /** ms; every time limit of the rules is so much longer on sockets. */
    private static final long SLACK_MS = 50;

    /** A request that came whole to a node. */
    private record Arrival(String id, Node node, long atMs) {}

    public static void main(String[] args) {
        Rig.main("2", Case2::run);
    }

    private static int run(boolean trouble) throws Exception {
        List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        AtomicInteger worked = new AtomicInteger();
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        List<Node> nodes = new CopyOnWriteArrayList<>();
        for (int i = 1; i <= CACHES; i++) {
            nodes.add(new Node("cache-" + i, i, "east", "box", 1 + (i - 1) / CELL_SIZE, request -> {
                arrivals.add(new Arrival(request.id(), request.node(), request.atMs()));
                runOnce(request, ranAt);
                Thread.sleep(40);
                if (trouble && worked.incrementAndGet() == FATAL) {
                    for (Node node : nodes) {
                        if (node.cell == request.node().cell) {
                            node.die();
                        }
                    }
                    return null;
                }
                Thread.sleep(40);
                return Node.Reply.done("aa11", System.currentTimeMillis(), "hit", new byte[4_000]);
            }));
        }
        for (String kind : List.of("parent", "origin")) {
            nodes.add(new Node(kind, kind.equals("origin") ? 0xf0000009 : 0xa0000001, "central", kind, 0, request -> {
                arrivals.add(new Arrival(request.id(), request.node(), request.atMs()));
                runOnce(request, ranAt);
                Thread.sleep(80);
                return Node.Reply.done("bb22", System.currentTimeMillis(), "hit", new byte[4_000]);
            }));
        }
        String config = Rig.config(
                "",
                "\"good_for_us\":[0,0],\"class_write\":[false,false],\"in_pieces\":[false,false],",
                List.of(
                        Rig.profile("page", 400_000, 3_000_000, ""),
                        Rig.profile(
                                "ticket",
                                600_000,
                                3_000_000,
                                ",\"effect\":\"token\",\"key_scope\":\"cell\",\"repeat_window_us\":" + WINDOW_MS * 1_000)),
                nodes);
        Rig.Front front =
                new Rig.Front("n0", Rig.freePort(), Rig.file("n0.json", config), null, true, Map.of());
        front.awaitUp();
        try (Client client = new Client(front.address)) {
            for (int i = 1; i <= REQUESTS; i++) {
                client.send(
                        "ASK",
                        i,
                        "ticket",
                        String.format(
                                "trace=%016x,patience=3000,nonce=%032x,entity=%016x,piece=0,lot=3,size=4",
                                i, 1_000 + i, 77_000L + 7_919L * i),
                        "");
                Thread.sleep(50);
            }
            for (int i = 0; i < REQUESTS; i++) {
                Client.Answer answer = client.answer();
                Rec.log("client got %s %s", answer.tag(), answer.word());
            }
        }
        return verdict(arrivals);
    }

    /** The effect of a request, which the nodes of a cell apply once for each key. */
    private static void runOnce(Node.Req request, Map<String, String> ranAt) {
        String key = request.field("nonce");
        if (ranAt.putIfAbsent(key + " in cell " + request.node().cell, request.node().name) != null) {
            Rec.log("%s drops the repeat of key %s", request.node().name, key);
            return;
        }
        String before = ranAt.putIfAbsent(key, request.node().name);
        if (before == null) {
            Rec.log("%s runs key %s", request.node().name, key);
        } else {
            Rec.log("%s runs key %s FOR A SECOND TIME: it ran at %s before", request.node().name, key, before);
        }
    }

    /**
     * Rule 2: once an attempt may have run, further attempts go only to nodes of the same cell, and only within the
     * window. No node of this case gives an answer that proves that a request never ran.
     */
    private static int verdict(List<Arrival> arrivals) {
        if (arrivals.stream().map(Arrival::id).distinct().count() < REQUESTS) {
            Rec.log("not every request came to a node");
        }
        int broken = 0;
        for (int i = 0; i < arrivals.size(); i++) {
            Arrival later = arrivals.get(i);
            for (Arrival earlier : arrivals.subList(0, i)) {
                if (!earlier.id().equals(later.id())) {
                    continue;
                }
                boolean group = earlier.node().cell == later.node().cell;
                boolean window = later.atMs() - earlier.atMs() <= WINDOW_MS + SLACK_MS;
                Rec.log(
                        "request %s came to %s (cell %d), and %d ms later to %s (cell %d): %s",
                        later.id(),
                        earlier.node().name,
                        earlier.node().cell,
                        later.atMs() - earlier.atMs(),
                        later.node().name,
                        later.node().cell,
                        group && window ? "allowed" : "RULE 2 BROKEN");
                broken += group && window ? 0 : 1;
                break;
            }
        }
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
