package magpiewheel.histories;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import magpiewheel.histories.Op.Hinted;
import magpiewheel.wire.Client;

/**
 * A client that reads and writes, one request after the other, at fronts that it changes at random and when its own is
 * gone. What it asks for comes from its seed alone, whatever is answered; only the marks that it hands back do not.
 */
final class Session implements Runnable {
    /** What the session does with its hints. */
    enum Role {
        EDITOR,
        PAGER,
        STRICT,
        PREFER,
        PINNED,
        MIXED,
        /** Stays at one front, and reads with a long bound what nobody else reads. */
        STAYER
    }

    /**
     * Sessions that are no stayers, and the objects that they share; behind them a stayer for each front, and its
     * object.
     */
    static final int MOVING = 12;

    static final int SHARED = 7;

    /** Which of the hints it words are sent. */
    enum Hints {
        ALL,
        NO_PIN,
        NONE
    }

    /** Where fronts are to be found. */
    interface Fronts {
        List<Integer> living();

        InetSocketAddress at(int front);
    }

    private static final long[] BOUNDS_MS = {250, 500, 1_000, 2_000, 4_000};
    private static final long LONG_BOUND_MS = 10_000;
    private static final int READS_A_WRITE = 5;
    private static final int PATIENCE_MS = 1_500;
    private static final int GROUP = 3;
    private static final double CHANGES_FRONT = 0.15;
    private static final double SHOWS_COPY = 0.3;
    private static final double ASKS_WRONGLY = 0.01;
    private static final List<String> WRONG = List.of(
            "at_most:-5",
            "at_most:soon",
            "after:12+after:13",
            "nearly",
            "at_most:200+strict+prefer",
            "strict",
            "pin:7");

    private final int number;
    private final Role role;
    private final Hints hints;
    private final Fronts fronts;
    private final Origin origin;
    private final long[] objects;
    private final long tracesFrom;
    private final int deeds;
    private final long endNs;
    private final Random what;
    private final Random where;
    private final String pin;
    private final Map<Long, Long> marks = new HashMap<>();
    private final Map<Long, String> tags = new HashMap<>();
    private final List<Op> ops = new ArrayList<>();
    private Client client;
    private int front = -1;
    private int asked;
    private long edited;

    /** The session of this number does so many deeds before the end, which is by {@link System#nanoTime}. */
    Session(
            int number,
            long seed,
            Hints hints,
            Fronts fronts,
            Origin origin,
            long[] objects,
            long tracesFrom,
            int deeds,
            long endNs) {
        this.number = number;
        this.role = role(number);
        this.hints = hints;
        this.fronts = fronts;
        this.origin = origin;
        this.objects = objects;
        this.tracesFrom = tracesFrom;
        this.deeds = deeds;
        this.endNs = endNs;
        this.what = new Random(seed * 31 + number);
        this.where = new Random(~seed * 31 + number);
        this.pin = String.format("%016x", what.nextLong());
    }

    static Role role(int number) {
        return number < MOVING ? Role.values()[number % (Role.values().length - 1)] : Role.STAYER;
    }

    /** All that it did, in order. */
    List<Op> ops() {
        return ops;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; i < deeds && System.nanoTime() < endNs; i++) {
                deed(i);
                Thread.sleep(1 + what.nextInt(10));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            leave();
        }
    }

    private void deed(int i) throws InterruptedException {
        long object = objects[what.nextInt(SHARED)];
        if (role == Role.EDITOR && i % READS_A_WRITE == 0) {
            edited = object;
            put(true, object, Hinted.NONE);
            return;
        }
        object = switch (role) {
            case EDITOR -> edited;
            case PAGER -> objects[i % SHARED];
            case STAYER -> objects[SHARED + number - MOVING];
            default -> object;
        };
        Hinted hint =
                what.nextDouble() < ASKS_WRONGLY ? Hinted.wrong(WRONG.get(what.nextInt(WRONG.size()))) : hint(object);
        put(
                false,
                object,
                switch (hints) {
                    case ALL -> hint;
                    case NO_PIN -> hint.pinned(null);
                    case NONE -> Hinted.NONE;
                });
    }

    /** What the session hints of an object; draws as often whatever it knows. */
    private Hinted hint(long object) {
        long bound = BOUNDS_MS[what.nextInt(BOUNDS_MS.length)];
        int mix = what.nextInt(16);
        long mark = marks.getOrDefault(object, -1L);
        Hinted after = mark < 0 ? Hinted.atMost(LONG_BOUND_MS, true) : Hinted.after(mark, true);
        return switch (role) {
            case EDITOR, PAGER -> after;
            case STAYER -> Hinted.atMost(LONG_BOUND_MS, true);
            case STRICT -> Hinted.atMost(bound, true);
            case PREFER ->
                mix < 8 || mark < 0 ? Hinted.atMost(bound, false) : new Hinted(bound, mark, null, false, null);
            case PINNED -> (mix < 4 ? Hinted.atMost(LONG_BOUND_MS, true) : after).pinned(pin);
            case MIXED ->
                new Hinted(
                        (mix & 1) > 0 ? bound : -1,
                        (mix & 2) > 0 ? mark : -1,
                        (mix & 4) > 0 ? pin : null,
                        mix >= 8,
                        null);
        };
    }

    private void put(boolean write, long object, Hinted hint) throws InterruptedException {
        boolean shows = what.nextDouble() < SHOWS_COPY;
        String held = write || !shows ? null : tags.get(object);
        if (client == null || where.nextDouble() < CHANGES_FRONT && role != Role.STAYER) {
            go();
        }
        if (client == null) {
            return;
        }
        String trace = String.format("%016x", tracesFrom + ((long) number << 20) + ++asked);
        String fields = String.format(
                "trace=%s,patience=%d,entity=%016x,piece=0,lot=%d,size=4%s%s%s",
                trace,
                PATIENCE_MS,
                object,
                GROUP,
                write ? ",nonce=" + trace : "",
                held == null ? "" : ",ver=" + held,
                hint.asks() ? ",hint=" + hint.text() : "");
        Op.Asked question = new Op.Asked(number, write, front, trace, object, hint, held, origin.ms());
        Op.Answered answer;
        try {
            client.send("ASK", asked, write ? "apply" : "static", fields, write ? "changed" : "");
            answer = answered(client.answer());
        } catch (IOException e) {
            answer = answered(null);
        }
        ops.add(new Op(question, answer));
        if (answer.word().isEmpty()) {
            leave();
        } else if (answer.served()) {
            marks.merge(object, Math.max(-1, answer.mark()), Math::max);
            if (answer.tag() != null && !write) {
                tags.put(object, answer.tag());
            }
        }
    }

    private Op.Answered answered(Client.Answer answer) {
        if (answer == null) {
            return new Op.Answered(origin.ms(), "", false, null, Op.UNTOLD, Op.UNTOLD, Op.UNTOLD, null);
        }
        Map<String, String> fields = new HashMap<>();
        for (String field : answer.fields().split(",")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return new Op.Answered(
                origin.ms(),
                answer.word(),
                fields.containsKey("unchanged"),
                fields.get("ver"),
                number(fields, "mark"),
                number(fields, "aged"),
                number(fields, "pause"),
                Copy.read(answer.body()));
    }

    private static long number(Map<String, String> fields, String name) {
        return fields.containsKey(name) ? Long.parseLong(fields.get(name)) : Op.UNTOLD;
    }

    /** To another front, any that lives. */
    private void go() throws InterruptedException {
        leave();
        while (client == null && System.nanoTime() < endNs) {
            List<Integer> living = fronts.living();
            front = living.get(where.nextInt(living.size()));
            if (role == Role.STAYER && living.contains(number - MOVING)) {
                front = number - MOVING;
            }
            try {
                client = new Client(fronts.at(front));
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
    }

    private void leave() {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is gone all the same.
        }
        client = null;
    }
}
