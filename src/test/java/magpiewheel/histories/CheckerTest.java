package magpiewheel.histories;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import magpiewheel.histories.Checker.Kind;
import magpiewheel.histories.Op.Answered;
import magpiewheel.histories.Op.Asked;
import magpiewheel.histories.Op.Hinted;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The checker on histories made by hand, with each violation and without it. */
class CheckerTest {
    private static final long OBJECT = 0xab;
    private static final String CACHE = "s-00000001";
    private Origin origin;
    private Ledger ledger;
    private List<Op> ops;
    private int traces;

    @BeforeEach
    void begin() {
        origin = new Origin();
        ledger = new Ledger();
        ops = new ArrayList<>();
    }

    private List<Kind> found() {
        return Checker.judge(ops, ledger, origin).violations().stream()
                .map(Checker.Violation::kind)
                .toList();
    }

    private void finds(Kind... kinds) {
        assertEquals(List.of(kinds), found());
    }

    /** A copy that the origin gives out later than the last one, so that times differ. */
    private Copy copy() {
        return later(() -> origin.give(OBJECT));
    }

    private Copy written() {
        return later(() -> origin.write(OBJECT, null));
    }

    private Copy later(java.util.function.Supplier<Copy> next) {
        for (long before = origin.ms(); origin.ms() <= before + 1; ) {
            Thread.onSpinWait();
        }
        return next.get();
    }

    private void op(
            int session,
            boolean write,
            Hinted hint,
            String held,
            long askedMs,
            String word,
            boolean unchanged,
            long mark,
            long aged,
            Copy copy) {
        String trace = String.format("%016x", ++traces);
        if (copy != null) {
            ledger.came(trace);
            ledger.sends(new Ledger.Sent(trace, CACHE, unchanged, "hit", copy, askedMs));
        }
        ops.add(new Op(
                new Asked(session, write, 0, trace, OBJECT, hint, held, askedMs),
                new Answered(
                        askedMs + 5,
                        word,
                        unchanged,
                        copy == null ? null : copy.tag(),
                        mark,
                        aged,
                        -1,
                        unchanged || write ? null : copy)));
    }

    private void read(Hinted hint, long ageMs, Copy copy) {
        op(0, false, hint, null, copy.mintedMs() + ageMs, "OK", false, copy.mintedMs(), Op.UNTOLD, copy);
    }

    private void preferred(Hinted hint, long ageMs, long aged, Copy copy) {
        op(0, false, hint, null, copy.mintedMs() + ageMs, "OK", false, copy.mintedMs(), aged, copy);
    }

    private void write(Copy copy, long mark) {
        op(0, true, Hinted.NONE, null, copy.mintedMs() - 1, "OK", false, mark, Op.UNTOLD, copy);
    }

    @Test
    void aStrictReadAtItsBoundHoldsAndOneMillisecondBeyondDoesNot() {
        read(Hinted.atMost(100, true), 100, copy());
        finds();
        read(Hinted.atMost(100, true), 101, copy());
        finds(Kind.TOO_OLD);
    }

    @Test
    void aStrictReadAtItsMarkHoldsAndOneFromBeforeDoesNot() {
        Copy copy = copy();
        read(Hinted.after(copy.mintedMs(), true), 900, copy);
        finds();
        read(Hinted.after(copy.mintedMs() + 1, true), 900, copy);
        finds(Kind.BEFORE_MARK);
    }

    @Test
    void aStrictReadOfWhatWasPurgedLongAgoDoesNotHold() {
        Copy copy = copy();
        ledger.purged(OBJECT, copy.mintedMs() + 1);
        read(Hinted.atMost(9_000, true), Checker.PURGE_KNOWN_MS, copy);
        preferred(Hinted.atMost(9_000, false), Checker.PURGE_KNOWN_MS + 1, Op.UNTOLD, copy);
        ledger.purged(OBJECT + 1, copy.mintedMs() + 1);
        finds();
        read(Hinted.atMost(9_000, true), Checker.PURGE_KNOWN_MS + 1, copy);
        finds(Kind.PURGED);
    }

    @Test
    void theBoundCountsFromWhenTheClientAskedNotFromTheAnswer() {
        Copy copy = copy();
        op(0, false, Hinted.atMost(3, true), null, copy.mintedMs() - 2, "OK", false, copy.mintedMs(), Op.UNTOLD, copy);
        finds();
    }

    @Test
    void aPreferredReadThatMissesItsBoundMustTellItsWholeAge() {
        preferred(Hinted.atMost(100, false), 100, Op.UNTOLD, copy());
        preferred(Hinted.atMost(100, false), 300, 300, copy());
        preferred(Hinted.atMost(100, false), 300, 299, copy());
        preferred(Hinted.atMost(100, false), 300, Op.UNBOUNDED, copy());
        finds();
        preferred(Hinted.atMost(100, false), 300, Op.UNTOLD, copy());
        finds(Kind.UNTOLD);
        preferred(Hinted.atMost(100, false), 300, 298, copy());
        finds(Kind.UNTOLD, Kind.AGED_SHORT);
    }

    @Test
    void aPreferredReadFromBeforeItsMarkMustSaySo() {
        Copy copy = copy();
        preferred(Hinted.after(copy.mintedMs() + 1, false), 10, 10, copy);
        finds();
        preferred(Hinted.after(copy.mintedMs() + 1, false), 10, Op.UNTOLD, copy);
        finds(Kind.UNTOLD);
    }

    @Test
    void aSessionThatHandsItsMarkBackNeverSeesAnOlderState() {
        Copy first = copy();
        Copy second = written();
        read(Hinted.atMost(5_000, true), 1, second);
        read(Hinted.after(first.mintedMs(), true), 10, first);
        finds(Kind.WENT_BACK);
        op(
                1,
                false,
                Hinted.after(first.mintedMs(), true),
                null,
                second.mintedMs() + 9,
                "OK",
                false,
                first.mintedMs(),
                Op.UNTOLD,
                first);
        finds(Kind.WENT_BACK);
        read(Hinted.atMost(5_000, true), 90, first);
        finds(Kind.WENT_BACK);
    }

    @Test
    void aSessionReadsWhatItWrote() {
        Copy before = copy();
        Copy copy = written();
        write(copy, copy.mintedMs() + 1);
        Copy after = copy();
        read(Hinted.after(copy.mintedMs() + 1, true), 20, after);
        finds();
        read(Hinted.after(copy.mintedMs() + 1, true), 20, before);
        finds(Kind.BEFORE_MARK, Kind.WENT_BACK);
    }

    @Test
    void aMarkIsTheTimeOfTheCopyAndOfAWriteOneMore() {
        Copy copy = written();
        write(copy, copy.mintedMs());
        finds(Kind.MARK_WRONG);
        write(copy, -1);
        finds(Kind.MARK_WRONG, Kind.MARK_ABSENT);
        op(
                0,
                false,
                Hinted.atMost(900, true),
                null,
                copy.mintedMs(),
                "OK",
                false,
                copy.mintedMs() + 1,
                Op.UNTOLD,
                copy);
        finds(Kind.MARK_WRONG, Kind.MARK_ABSENT, Kind.MARK_WRONG);
        op(0, false, Hinted.atMost(900, true), null, copy.mintedMs(), "OK", false, -1, Op.UNTOLD, copy);
        finds(Kind.MARK_WRONG, Kind.MARK_ABSENT, Kind.MARK_WRONG, Kind.MARK_ABSENT);
    }

    @Test
    void aClientsCopyThatHoldsIsJudgedByWhatTheFrontWasSent() {
        Copy copy = copy();
        op(
                0,
                false,
                Hinted.atMost(100, true),
                copy.tag(),
                copy.mintedMs() + 50,
                "OK",
                true,
                copy.mintedMs(),
                Op.UNTOLD,
                copy);
        finds();
        op(
                0,
                false,
                Hinted.atMost(100, true),
                copy.tag(),
                copy.mintedMs() + 150,
                "OK",
                true,
                copy.mintedMs(),
                Op.UNTOLD,
                null);
        finds(Kind.TOO_OLD);
        op(
                0,
                false,
                Hinted.atMost(100, true),
                "0123",
                copy.mintedMs() + 150,
                "OK",
                true,
                copy.mintedMs(),
                Op.UNTOLD,
                null);
        finds(Kind.TOO_OLD, Kind.FORGED);
    }

    @Test
    void aMarkNamesTheCopyThatIsSaidToHold() {
        Copy old = copy();
        Copy young = copy();
        op(0, false, Hinted.NONE, null, young.mintedMs(), "OK", false, Op.UNTOLD, Op.UNTOLD, old);
        op(0, false, Hinted.NONE, null, young.mintedMs(), "OK", false, Op.UNTOLD, Op.UNTOLD, young);
        op(
                0,
                false,
                Hinted.after(young.mintedMs(), true),
                young.tag(),
                young.mintedMs() + 9,
                "OK",
                true,
                young.mintedMs(),
                Op.UNTOLD,
                null);
        finds();
        op(
                0,
                false,
                Hinted.after(young.mintedMs(), true),
                young.tag(),
                young.mintedMs() + 9,
                "OK",
                true,
                old.mintedMs(),
                Op.UNTOLD,
                null);
        finds(Kind.BEFORE_MARK);
        op(
                0,
                false,
                Hinted.after(old.mintedMs(), true),
                young.tag(),
                young.mintedMs() + 9,
                "OK",
                true,
                old.mintedMs() + 1,
                Op.UNTOLD,
                null);
        finds(Kind.BEFORE_MARK, Kind.MARK_WRONG);
    }

    @Test
    void whatNobodyMadeIsForged() {
        Copy copy = copy();
        read(Hinted.NONE, 5, new Copy(OBJECT, copy.version(), copy.mintedMs() + 1, copy.serial()));
        op(0, false, Hinted.NONE, null, copy.mintedMs(), "OK", false, -1, Op.UNTOLD, null);
        finds(Kind.FORGED, Kind.FORGED);
    }

    @Test
    void aWrongHintGetsAnErrorAndIsNotSent() {
        op(0, false, Hinted.wrong("at_most:-5"), null, origin.ms(), "ERROR", false, -1, Op.UNTOLD, null);
        finds();
        op(0, false, Hinted.wrong("at_most:-5"), null, origin.ms(), "BUSY", false, -1, Op.UNTOLD, null);
        finds(Kind.WRONG_TAKEN);
        op(0, false, Hinted.wrong("at_most:-5"), null, origin.ms(), "OK", false, -1, Op.UNTOLD, copy());
        finds(Kind.WRONG_TAKEN, Kind.WRONG_TAKEN, Kind.WRONG_SENT);
    }

    @Test
    void anOlderStateOfTheMarksOwnMillisecondIsCountedApart() {
        Copy old = null;
        Copy next = null;
        while (old == null || old.mintedMs() != next.mintedMs()) {
            old = origin.give(OBJECT);
            next = origin.write(OBJECT, null);
        }
        read(Hinted.atMost(5_000, true), 1, next);
        read(Hinted.after(next.mintedMs(), true), 2, old);
        finds();
        assertEquals(1, Checker.judge(ops, ledger, origin).sameMs());
    }

    @Test
    void refusalsAndBrokenConnectionsBreakNoPromise() {
        op(0, false, Hinted.atMost(1, true), null, origin.ms(), "BUSY", false, -1, Op.UNTOLD, null);
        op(0, false, Hinted.atMost(1, true), null, origin.ms(), "", false, -1, Op.UNTOLD, null);
        finds();
    }
}
