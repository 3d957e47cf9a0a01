import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the notice board tells comes 3 s late, all of it and in order. A purge is put into the board; what does the front
 * answer long after the purge counts as told?
 */
final class Case3 {
    private static final long LATE_MS = 3_000;
    private static final long OBJECT = 0x7f3a9c21e0b4d655L;
    /** ms; so long after its event a purge counts as told at the latest, whether it arrived or not. */
    private static final long TOLD_MS = 7_000;
    /** ms; notice_time_us of the settings, and what every time limit is longer on sockets. */
    private static final long NOTICE_MS = 300;

    private static final long SLACK_MS = 50;
    private static final byte[] OLD = "the copy from before the purge".getBytes();
    private static final byte[] NEW = "the copy from after the purge!".getBytes();

    public static void main(String[] args) {
        Rig.main("3", Case3::run);
    }

    private static int run(boolean trouble) throws Exception {
        AtomicLong purgedAt = new AtomicLong(Long.MAX_VALUE);
        AtomicLong oldMinted = new AtomicLong();
        // All nodes drop the older copy at once: a sound node may be later, but no more than that.
        Node.Handler handler = request -> {
            Thread.sleep(20);
            long now = System.currentTimeMillis();
            if (now < purgedAt.get()) {
                oldMinted.compareAndSet(0, now);
                return Node.Reply.done("aa11", oldMinted.get(), "hit", OLD);
            }
            return Node.Reply.done("bb22", purgedAt.get() + 1, "hit", NEW);
        };
        List<Node> nodes = List.of(
                new Node("cache-1", 1, "east", "box", 1, handler),
                new Node("cache-2", 2, "east", "box", 1, handler),
                new Node("origin", 0xf0000009, "central", "origin", 0, handler));
        Board board = new Board("board", null);
        Delay way = new Delay("way to the board", board.address(), trouble ? LATE_MS : 0);
        String config = Rig.config(
                "\"board\":\"" + way.address() + "\",",
                "\"good_for_us\":[0],\"class_write\":[false],\"in_pieces\":[true],",
                List.of(Rig.profile("video", 600_000, 6_000_000, "")),
                nodes);
        Rig.Front front =
                new Rig.Front("n0", Rig.freePort(), Rig.file("n0.json", config), null, true, Map.of());
        front.awaitUp();
        // The front is up for 10 s and hears its board, if it can, before anything happens.
        Rig.sleepUntil(10_000);
        Client.Answer before = ask(front, 1);
        if (!before.word().equals("OK") || !before.field("ver").equals("aa11")) {
            throw new IllegalStateException("no copy was served before the purge");
        }
        Thread.sleep(1_000);
        long at = System.currentTimeMillis();
        purgedAt.set(at);
        board.purge(2, OBJECT, at);
        long boundMs = Rec.ms() + TOLD_MS + NOTICE_MS + SLACK_MS;
        int broken = 0;
        for (int i = 0; i < 8; i++) {
            // The first is asked 5 s behind the moment from which the rule binds.
            Rig.sleepUntil(boundMs + 5_000 + 1_000L * i);
            long sentMs = Rec.ms();
            Client.Answer answer = ask(front, 10 + i);
            if (answer.word().equals("OK") && answer.field("ver").equals("aa11")) {
                broken++;
                Rec.log(
                        "RULE 5 BROKEN: a request sent %d ms after the purge was answered with the copy %s, minted %d ms "
                                + "before the purge",
                        sentMs - (boundMs - TOLD_MS - NOTICE_MS - SLACK_MS),
                        answer.field("ver"),
                        at - oldMinted.get());
            }
        }
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static Client.Answer ask(Rig.Front front, int tag) throws Exception {
        try (Client client = new Client(front.address)) {
            client.send(
                    "ASK",
                    tag,
                    "video",
                    String.format("trace=%016x,patience=6000,entity=%016x,piece=0,lot=17,size=4", tag, OBJECT),
                    "");
            Client.Answer answer = client.answer();
            if (answer == null) {
                throw new IllegalStateException("the connection ended without an answer");
            }
            Rec.log("client asked %d and got %s %s: %s", tag, answer.word(), answer.fields(), new String(answer.body()));
            return answer;
        }
    }
}
