package magpiewheel.histories;

import java.util.List;
import java.util.function.Predicate;

/** What was seen of one history, from outside. */
record History(long seed, Faults.Kind kind, List<Op> ops, Ledger ledger, Origin origin, String story) {
    /** ms; a refusal that came later than this was not at once. */
    private static final long AT_ONCE_MS = 100;

    Checker judged() {
        return Checker.judge(ops, ledger, origin);
    }

    private long count(Predicate<Op> which) {
        return ops.stream().filter(which).count();
    }

    static boolean hinted(Op op) {
        return !op.asked().write()
                && op.asked().hint().asks()
                && op.asked().hint().wrong() == null;
    }

    long reads() {
        return count(History::read);
    }

    private static boolean read(Op op) {
        return !op.asked().write() && op.answered().served();
    }

    long reads(Session.Role role) {
        return count(op -> read(op) && Session.role(op.asked().session()) == role);
    }

    long hintedReads() {
        return count(History::hinted);
    }

    long strictServed() {
        return count(
                op -> hinted(op) && op.asked().hint().strict() && op.answered().served());
    }

    long refused() {
        return count(op -> hinted(op) && op.answered().refused());
    }

    /** Hinted reads answered with an error, or by the end of the connection. */
    long failed() {
        return count(
                op -> hinted(op) && !op.answered().refused() && !op.answered().served());
    }

    /** Preferred reads served with their age told. */
    long aged() {
        return count(op -> hinted(op) && op.answered().served() && op.answered().tellsAge());
    }

    long refusedWithoutPause() {
        return count(
                op -> hinted(op) && op.answered().refused() && op.answered().pauseMs() <= 0);
    }

    long refusedLate() {
        return count(op -> hinted(op)
                && op.answered().refused()
                && op.answered().atMs() - op.asked().atMs() > AT_ONCE_MS);
    }

    /** Reads of a role that were answered with what the front or its cache held, no fill. */
    long hits(Session.Role role) {
        return count(op -> read(op)
                && Session.role(op.asked().session()) == role
                && ledger.of(op.asked().trace()).stream()
                        .allMatch(sent -> sent.note().equals("hit")));
    }

    long served(boolean write) {
        return count(op -> op.asked().write() == write && op.answered().served());
    }
}
