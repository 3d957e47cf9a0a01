package magpiewheel.staleness;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/**
 * What fronts tell each other for pinned reads: copies with their times and pins, within a branch, and how they see the
 * origin's clock. A tick sends a bounded number of datagrams; what finds no room in the queue is not told.
 */
final class ReplicaGossip {
    /** The first byte of every datagram, and the version. */
    static final byte MARK = (byte) 0xe2;

    private static final byte VERSION = 1;
    private static final byte COPIES = 1;
    private static final byte PINS = 2;
    private static final byte ASK = 3;
    private static final byte ANSWER = 4;
    /** Pins from before, for a front that started: what it knows by itself is newer. */
    private static final byte OLD_PINS = 5;
    /** From one tick to the next; fronts told in one; datagrams in one. */
    static final long TICK_US = 250_000;

    static final int TOLD = 4;
    static final int DATAGRAMS = 8;
    /** Words in a datagram: three of eight bytes, and for a copy two more of its part. */
    private static final int HEAD = 4;

    private static final int COPY_WORDS = 9;
    private static final int PIN_WORDS = 10;
    /** News that wait, and what is kept for fronts that start. */
    private static final int QUEUE = 256;

    private static final int KEPT = 1_024;
    /** A clock that is known worse than this is asked about, one front each time; an answer counts so long. */
    private static final long GOOD_US = 25_000;

    private static final long ASK_US = 500_000;
    private static final long ANSWER_US = 3_000_000;
    /** So many fronts are asked for all they have at the start. */
    private static final int ASKED_ALL = 2;

    private final int me;
    private final int zone;
    private final MembershipView view;
    private final GossipSender out;
    private final OriginClock origin;
    private final ReplicaIndex copies;
    private final StickyReplicaTable pins;
    private final Told newCopies = new Told();
    private final Told newPins = new Told();
    private final ArrayDeque<byte[]> owed = new ArrayDeque<>();
    private final ArrayDeque<Integer> owedTo = new ArrayDeque<>();
    private final Map<Integer, Long> asked = new HashMap<>();
    private int toAskAll = ASKED_ALL;
    private long due;
    private long askAt;
    private int turn;
    private long spoilt;

    /** A copy that a node holds, or with a session a pin. */
    private record Word(long session, long object, int part, long node, long mintedUs) {}

    /** Words of one kind: those that wait, and the last ones. */
    private static final class Told {
        final ArrayDeque<Word> news = new ArrayDeque<>();
        final ArrayDeque<Word> kept = new ArrayDeque<>();

        void add(Word word) {
            if (news.size() < QUEUE) {
                news.add(word);
            }
            kept.add(word);
            if (kept.size() > KEPT) {
                kept.remove();
            }
        }
    }

    ReplicaGossip(
            long now,
            int me,
            int zone,
            MembershipView view,
            GossipSender out,
            OriginClock origin,
            ReplicaIndex copies,
            StickyReplicaTable pins) {
        this.me = me;
        this.zone = zone;
        this.view = view;
        this.out = out;
        this.origin = origin;
        this.copies = copies;
        this.pins = pins;
        this.due = now;
        this.turn = me;
    }

    void copy(long object, int part, long node, long mintedUs) {
        newCopies.add(new Word(0, object, part, node, mintedUs));
    }

    void pin(long session, long object, long node) {
        newPins.add(new Word(session, object, 0, node, 0));
    }

    long due() {
        return due;
    }

    /** Datagrams that could not be used. */
    long spoilt() {
        return spoilt;
    }

    void tick(long now) {
        due = now + TICK_US;
        List<Integer> peers = view.runningMembersIn(zone);
        if (peers.isEmpty()) {
            newCopies.news.clear();
            newPins.news.clear();
            owed.clear();
            owedTo.clear();
            return;
        }
        ask(now, peers);
        int left = DATAGRAMS;
        while (left > 0 && !owed.isEmpty()) {
            out.send(owedTo.remove(), owed.remove());
            left--;
        }
        int to = Math.min(TOLD, peers.size());
        while (left >= to && !(newCopies.news.isEmpty() && newPins.news.isEmpty())) {
            byte[] message = newPins.news.isEmpty() ? next(newCopies.news, COPIES) : next(newPins.news, PINS);
            for (int i = 0; i < to; i++) {
                out.send(peers.get(Math.floorMod(turn + i, peers.size())), message);
            }
            left -= to;
            turn += to;
        }
        turn++;
    }

    private void ask(long now, List<Integer> peers) {
        long error = origin.error(now);
        boolean unsure = error < 0 || error > GOOD_US;
        if (toAskAll == 0 && (!unsure || now < askAt)) {
            return;
        }
        askAt = now + ASK_US;
        int peer = peers.get(Math.floorMod(turn, peers.size()));
        asked.put(peer, now);
        out.send(peer, head(ASK, toAskAll > 0 ? 1 : 0, 8).putLong(now).array());
        toAskAll = Math.max(0, toAskAll - 1);
    }

    /** As many of the first words as fit. */
    private static byte[] next(ArrayDeque<Word> words, byte kind) {
        boolean pin = kind != COPIES;
        List<Word> taken = new ArrayList<>();
        while (!words.isEmpty() && taken.size() < (pin ? PIN_WORDS : COPY_WORDS)) {
            taken.add(words.remove());
        }
        ByteBuffer bytes = head(kind, taken.size(), taken.size() * (pin ? 24 : 26));
        for (Word word : taken) {
            bytes.putLong(word.object()).putLong(word.node());
            if (pin) {
                bytes.putLong(word.session());
            } else {
                bytes.putLong(word.mintedUs()).putShort((short) word.part());
            }
        }
        return bytes.array();
    }

    private static ByteBuffer head(byte kind, int count, int room) {
        return ByteBuffer.allocate(HEAD + room).put(MARK).put(VERSION).put(kind).put((byte) count);
    }

    /** Whatever can't be used has no effect and is counted. */
    void heard(long now, int from, byte[] message) {
        ByteBuffer bytes = ByteBuffer.wrap(message);
        try {
            if (bytes.get() != MARK || bytes.get() != VERSION) {
                spoilt++;
                return;
            }
            byte kind = bytes.get();
            int count = bytes.get() & 0xff;
            switch (kind) {
                case COPIES -> copies(now, bytes, count);
                case PINS, OLD_PINS -> pins(now, bytes, count, kind == OLD_PINS);
                case ASK -> answer(now, from, bytes.getLong(), count == 1);
                case ANSWER -> answered(now, from, bytes.getLong(), bytes.getLong(), bytes.getLong());
                default -> spoilt++;
            }
        } catch (BufferUnderflowException e) {
            spoilt++;
        }
    }

    private void copies(long now, ByteBuffer bytes, int count) {
        for (int i = 0; i < count; i++) {
            long object = bytes.getLong();
            long node = bytes.getLong();
            long minted = bytes.getLong();
            int part = bytes.getShort() & 0xffff;
            if (minted > 0) {
                copies.saw(now, object, part, node, minted);
            }
        }
    }

    private void pins(long now, ByteBuffer bytes, int count, boolean old) {
        for (int i = 0; i < count; i++) {
            long object = bytes.getLong();
            long node = bytes.getLong();
            long session = bytes.getLong();
            if (session != 0 && !(old && pins.has(now, session, object))) {
                pins.take(now, session, object, node);
            }
        }
    }

    private void answer(long now, int from, long echo, boolean all) {
        boolean known = origin.known(now);
        out.send(
                from,
                head(ANSWER, 0, 24)
                        .putLong(echo)
                        .putLong(known ? origin.earliest(now) : 0)
                        .putLong(known ? origin.latest(now) : 0)
                        .array());
        if (all && owed.size() < DATAGRAMS) {
            owe(from, newPins.kept, OLD_PINS);
            owe(from, newCopies.kept, COPIES);
        }
    }

    /** The newest first: they are the likeliest to be asked for. */
    private void owe(int to, ArrayDeque<Word> kept, byte kind) {
        ArrayDeque<Word> words = new ArrayDeque<>();
        kept.forEach(words::addFirst);
        while (!words.isEmpty()) {
            owed.add(next(words, kind));
            owedTo.add(to);
        }
    }

    /** The origin's clock was past the earliest when the answer came, and not past the latest when it was asked for. */
    private void answered(long now, int from, long echo, long earliest, long latest) {
        Long sent = asked.get(from);
        if (sent == null || sent != echo || now - echo > ANSWER_US || latest == 0) {
            return;
        }
        asked.remove(from);
        origin.atLeast(now, earliest);
        origin.atMost(echo, latest);
    }
}
