package magpiewheel.histories;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Judges a history by what clients got and what stand-ins sent. How long something took is never a violation. A copy
 * that was not sent along, because the client's is said to hold, counts as the one that the mark names, if the front
 * had been sent that by then.
 */
final class Checker {
    /** What a promise can be broken by. */
    enum Kind {
        /** A strict read older than its bound, or from before its mark; a session that saw a newer state before. */
        TOO_OLD,
        BEFORE_MARK,
        WENT_BACK,
        /**
         * A strict read of what was purged, so long after the purge that a front without news must have known that it
         * has none.
         */
        PURGED,
        /** A preferred read whose hint is not met and that does not say so, or tells less than the true age. */
        UNTOLD,
        AGED_SHORT,
        /** A mark that is absent, or not the time of the copy (or one more than the write's). */
        MARK_ABSENT,
        MARK_WRONG,
        /** A hint that can't be used and got another answer than an error, or was sent on. */
        WRONG_TAKEN,
        WRONG_SENT,
        /** An answer that nobody made. */
        FORGED
    }

    /** A broken promise, with all that shows it. */
    record Violation(Kind kind, Op op, String why) {
        @Override
        public String toString() {
            return kind + ": " + why + "; " + op;
        }
    }

    /** The newest that a session has seen of an object. */
    private record Floor(long version, long mintedMs) {}

    private static final long ROUNDING_MS = 1;
    private static final int SHOWN_OF_KIND = 2;
    /**
     * ms; a front that has not heard its board for 2.3 s proves no more, and may have heard what was told late by the
     * rest.
     */
    static final long PURGE_KNOWN_MS = 4_000;

    private final Ledger ledger;
    private final Origin origin;
    private final List<Violation> found = new ArrayList<>();
    private final Map<String, Floor> floors = new HashMap<>();
    private final Map<String, List<Ledger.Sent>> toFront = new HashMap<>();
    private int sameMs;

    private Checker(List<Op> ops, Ledger ledger, Origin origin) {
        this.ledger = ledger;
        this.origin = origin;
        for (Op op : ops) {
            for (Ledger.Sent sent : ledger.of(op.asked().trace())) {
                toFront.computeIfAbsent(key(op.asked().front(), sent.copy().tag()), key -> new ArrayList<>())
                        .add(sent);
            }
        }
    }

    /** What is broken in a history; each session's deeds in their order. */
    static Checker judge(List<Op> ops, Ledger ledger, Origin origin) {
        Checker checker = new Checker(ops, ledger, origin);
        ops.forEach(checker::look);
        return checker;
    }

    List<Violation> violations() {
        return found;
    }

    /** The first violations of each kind, a line each. */
    String shown() {
        return Arrays.stream(Kind.values())
                .flatMap(kind -> found.stream()
                        .filter(violation -> violation.kind() == kind)
                        .limit(SHOWN_OF_KIND))
                .map(Violation::toString)
                .collect(Collectors.joining("\n"));
    }

    /**
     * Reads behind a newer state of the very millisecond that the mark names: no mark of whole milliseconds can tell
     * them.
     */
    int sameMs() {
        return sameMs;
    }

    private static String key(long first, String second) {
        return first + " " + second;
    }

    private void broken(Kind kind, Op op, String why) {
        found.add(new Violation(kind, op, why));
    }

    private void look(Op op) {
        if (op.asked().hint().wrong() != null) {
            wrong(op);
        } else if (op.answered().served()) {
            if (op.asked().write()) {
                written(op);
            } else {
                read(op);
            }
        }
    }

    private void wrong(Op op) {
        if (op.answered().served() || op.answered().refused()) {
            broken(Kind.WRONG_TAKEN, op, "answered " + op.answered().word());
        }
        if (ledger.asked(op.asked().trace()) > 0) {
            broken(Kind.WRONG_SENT, op, "sent on");
        }
    }

    private void written(Op op) {
        List<Ledger.Sent> sent = ledger.of(op.asked().trace());
        if (sent.isEmpty()) {
            broken(Kind.FORGED, op, "a write that the origin did not answer");
            return;
        }
        Copy copy = sent.get(sent.size() - 1).copy();
        long mark = op.answered().mark();
        if (mark < 0) {
            broken(Kind.MARK_ABSENT, op, "written at " + copy.mintedMs());
        } else if (mark != copy.mintedMs() + 1) {
            broken(Kind.MARK_WRONG, op, "written at " + copy.mintedMs());
        }
        raise(op, copy.version(), copy.mintedMs() + 1);
    }

    private void raise(Op op, long version, long mintedMs) {
        floors.merge(
                key(op.asked().session(), Long.toHexString(op.asked().object())),
                new Floor(version, mintedMs),
                (old, next) ->
                        new Floor(Math.max(old.version(), next.version()), Math.max(old.mintedMs(), next.mintedMs())));
    }

    private void read(Op op) {
        Copy copy = op.answered().unchanged() ? holding(op) : op.answered().copy();
        if (copy == null || !origin.gave(copy) || copy.object() != op.asked().object()) {
            broken(Kind.FORGED, op, "no stand-in sent this: " + copy);
            return;
        }
        if (op.asked().hint().asks()) {
            mark(op, copy);
            bounds(op, copy);
            order(op, copy);
        }
        raise(op, copy.version(), copy.mintedMs());
    }

    /**
     * The copy of the held tag that the mark names, of those that this front had been sent when it answered; else the
     * youngest.
     */
    private Copy holding(Op op) {
        Copy best = null;
        for (Ledger.Sent sent :
                toFront.getOrDefault(key(op.asked().front(), op.asked().held()), List.of())) {
            Copy copy = sent.copy();
            if (sent.atMs() <= op.answered().atMs()
                    && copy.mintedMs() == op.answered().mark()) {
                return copy;
            }
            if (sent.atMs() <= op.answered().atMs() && (best == null || copy.mintedMs() > best.mintedMs())) {
                best = copy;
            }
        }
        return best;
    }

    private void bounds(Op op, Copy copy) {
        Op.Hinted hint = op.asked().hint();
        long age = op.asked().atMs() - copy.mintedMs();
        boolean old = hint.atMostMs() >= 0 && age > hint.atMostMs();
        boolean before = hint.afterMs() >= 0 && copy.mintedMs() < hint.afterMs();
        if (hint.strict()) {
            if (old) {
                broken(Kind.TOO_OLD, op, age + " ms old, " + copy);
            }
            if (before) {
                broken(Kind.BEFORE_MARK, op, (hint.afterMs() - copy.mintedMs()) + " ms before its mark, " + copy);
            }
            long purged = ledger.purgedBy(copy.object(), op.asked().atMs() - PURGE_KNOWN_MS);
            if (copy.mintedMs() < purged) {
                broken(Kind.PURGED, op, "purged at " + purged + ", " + copy);
            }
        } else if ((old || before) && !op.answered().tellsAge()) {
            broken(Kind.UNTOLD, op, age + " ms old, " + copy);
        }
        if (op.answered().tellsAge()
                && op.answered().aged() != Op.UNBOUNDED
                && op.answered().aged() + ROUNDING_MS < age) {
            broken(Kind.AGED_SHORT, op, age + " ms old, " + copy);
        }
    }

    private void mark(Op op, Copy copy) {
        long mark = op.answered().mark();
        if (mark < 0) {
            broken(Kind.MARK_ABSENT, op, "" + copy);
        } else if (mark != copy.mintedMs()) {
            broken(Kind.MARK_WRONG, op, "" + copy);
        }
    }

    /** A session that passes its last mark on never sees an older state; where it only prefers so, it is told. */
    private void order(Op op, Copy copy) {
        Floor floor =
                floors.get(key(op.asked().session(), Long.toHexString(op.asked().object())));
        boolean promised = op.asked().hint().afterMs() >= 0
                && (op.asked().hint().strict() || !op.answered().tellsAge());
        if (floor == null || !promised || copy.version() >= floor.version()) {
            return;
        }
        if (copy.mintedMs() == floor.mintedMs()) {
            sameMs++;
        } else {
            broken(Kind.WENT_BACK, op, "version " + floor.version() + " was seen, " + copy);
        }
    }
}
