package magpiewheel.staleness;

/** Which cache was seen to hold a part, and the origin time of that copy. Bounded, expiring; never a proof. */
final class ReplicaIndex {
    private final SetAssociativeTable table;

    ReplicaIndex(int maxEntries, long maxAgeUs) {
        table = new SetAssociativeTable(maxEntries, maxAgeUs);
    }

    /** When the copy that a node was last seen with was minted, or 0. */
    long originTimeOf(long now, long object, int part, long endpoint) {
        int index = table.find(now, SetAssociativeTable.keyOf(object, part, endpoint));
        return index < 0 ? 0 : table.first(index);
    }

    /** A node held a copy; whether that was news. What came late is from before. */
    boolean observed(long now, long object, int part, long endpoint, long originTimeUs) {
        long key = SetAssociativeTable.keyOf(object, part, endpoint);
        int index = table.find(now, key);
        if (index < 0) {
            table.put(now, table.slotFor(now, key), key, originTimeUs, endpoint, object);
            return true;
        }
        boolean newer = originTimeUs > table.first(index);
        table.put(now, index, key, Math.max(originTimeUs, table.first(index)), endpoint, object);
        return newer;
    }

    /** A cache has gone or has started again with nothing. */
    void forget(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.second(i) == endpoint) {
                table.clear(i);
            }
        }
    }

    /** What was minted of an object before a purge is void. */
    void removeOlder(long object, long purgedAtUs) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.third(i) == object && table.first(i) < purgedAtUs) {
                table.clear(i);
            }
        }
    }
}
