package magpiewheel.pressure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.records.FlowRecord;

/** Flows that are alike, added up over an interval; so many kinds of them at most, the rest is counted as not sent. */
public final class Aggregates {
    private record Key(
            FlowRecord.Kind kind,
            int branch,
            FlowRecord.SourceKind from,
            int profile,
            long node,
            FlowRecord.End end,
            FlowRecord.Hit hit) {}

    private final int most;
    private final long intervalMs;
    private final Map<Key, FlowRecord> sums = new LinkedHashMap<>();
    private long began;

    /** At most so many sums, each over an interval. */
    public Aggregates(int most, long intervalMs) {
        this.most = most;
        this.intervalMs = intervalMs;
    }

    /** Adds a flow; false where there is no room for one of its kind. */
    public boolean add(long nowMs, FlowRecord flow) {
        Key key = new Key(
                flow.kind(), flow.branch(), flow.sourceKind(), flow.profile(), flow.node(), flow.end(), flow.hit());
        FlowRecord sum = sums.get(key);
        if (sum == null && sums.size() >= most) {
            return false;
        }
        if (sums.isEmpty()) {
            began = nowMs;
        }
        sums.put(key, sum == null ? flow.alone() : sum.plus(flow));
        return true;
    }

    /** The sums, once their interval is over or when {@code now} is asked for; else nothing. */
    public List<FlowRecord> due(long nowMs, boolean atOnce) {
        if (sums.isEmpty() || !atOnce && nowMs - began < intervalMs && nowMs >= began) {
            return List.of();
        }
        List<FlowRecord> out = new ArrayList<>(sums.values());
        sums.clear();
        return out;
    }

    /** Sums in hand. */
    public int size() {
        return sums.size();
    }
}
