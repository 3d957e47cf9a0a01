package magpiewheel.records;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Flows on their way to the exporter: a bounded ring that many threads write and one reads. A writer never waits, takes
 * no lock and leaves no garbage: a flow that finds the ring full is counted and lost. Nobody is woken for a flow; the
 * reader looks by itself.
 */
public final class FlowRing {
    private static final int LONGS = 10;
    private static final int INT_BITS = 32;
    private static final long LOW = 0xffff_ffffL;
    private final int capacity;
    private final int mask;
    private final long[] slots;
    /** For each slot the number of the flow that may be written next, or that number plus 1 once it is there. */
    private final AtomicLongArray turns;

    private final AtomicLong head = new AtomicLong();
    private long tail;
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong lostOctets = new AtomicLong();

    /** Room for so many flows, rounded up to a power of two. */
    public FlowRing(int least) {
        capacity = Integer.highestOneBit(Math.max(2, least - 1)) << 1;
        mask = capacity - 1;
        slots = new long[capacity * LONGS];
        turns = new AtomicLongArray(capacity);
        for (int i = 0; i < capacity; i++) {
            turns.set(i, i);
        }
    }

    /** Leaves a flow, from any thread; false where the ring is full. */
    public boolean offer(
            FlowRecord.Kind kind,
            long fromMs,
            long toMs,
            int source,
            int sourcePort,
            int target,
            int targetPort,
            long octets,
            long linkOctets,
            int profile,
            int branch,
            FlowRecord.SourceKind from,
            FlowRecord.End end,
            FlowRecord.Hit hit,
            long object,
            int part,
            long node) {
        long mine = head.get();
        while (true) {
            long turn = turns.getAcquire((int) mine & mask);
            if (turn < mine) {
                lost.incrementAndGet();
                lostOctets.addAndGet(octets);
                return false;
            }
            if (turn == mine && head.compareAndSet(mine, mine + 1)) {
                break;
            }
            mine = head.get();
        }
        int at = ((int) mine & mask) * LONGS;
        slots[at] = fromMs;
        slots[at + 1] = toMs;
        slots[at + 2] = (long) source << INT_BITS | target & LOW;
        slots[at + 3] = (long) sourcePort << INT_BITS | targetPort & LOW;
        slots[at + 4] = octets;
        slots[at + 5] = (long) profile << INT_BITS | branch & LOW;
        slots[at + 6] =
                (long) (kind.ordinal() << 24 | from.ordinal() << 16 | end.ordinal() << 8 | hit.ordinal()) << INT_BITS
                        | part & LOW;
        slots[at + 7] = object;
        slots[at + 8] = node;
        slots[at + 9] = linkOctets;
        turns.setRelease((int) mine & mask, mine + 1);
        return true;
    }

    /** The oldest flow, or null; for one reader. */
    public FlowRecord poll() {
        int slot = (int) tail & mask;
        if (turns.getAcquire(slot) != tail + 1) {
            return null;
        }
        int at = slot * LONGS;
        int words = (int) (slots[at + 6] >> INT_BITS);
        FlowRecord flow = new FlowRecord(
                KINDS[words >> 24 & 0xff],
                slots[at],
                slots[at + 1],
                (int) (slots[at + 2] >> INT_BITS),
                (int) (slots[at + 3] >> INT_BITS),
                (int) slots[at + 2],
                (int) slots[at + 3],
                slots[at + 4],
                slots[at + 9],
                1,
                (int) (slots[at + 5] >> INT_BITS),
                (int) slots[at + 5],
                SOURCES[words >> 16 & 0xff],
                ENDS[words >> 8 & 0xff],
                HITS[words & 0xff],
                slots[at + 7],
                (int) slots[at + 6],
                slots[at + 8]);
        turns.setRelease(slot, tail + capacity);
        tail++;
        return flow;
    }

    /** Share of the ring that is taken, from 0 to 1. */
    public double filled() {
        return Math.max(0, Math.min(1, (double) (head.get() - tail) / capacity));
    }

    /** Flows that found no room. */
    public long lost() {
        return lost.get();
    }

    /** And their bytes. */
    public long lostOctets() {
        return lostOctets.get();
    }

    private static final FlowRecord.Kind[] KINDS = FlowRecord.Kind.values();
    private static final FlowRecord.SourceKind[] SOURCES = FlowRecord.SourceKind.values();
    private static final FlowRecord.End[] ENDS = FlowRecord.End.values();
    private static final FlowRecord.Hit[] HITS = FlowRecord.Hit.values();
}
