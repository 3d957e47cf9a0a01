package magpiewheel.staleness;

/** Which cache was seen to hold a part, and the origin time of that copy. Bounded, expiring; never a proof. */
final class ReplicaIndex {
    private final SetAssociativeTable table;

    ReplicaIndex(int maxEntries, long ageUs) {
        table = new SetAssociativeTable(maxEntries, ageUs);
    }

    /** When the copy that a node was last seen with was minted, or 0. */
    long originTimeOf(long now, long object, int part, long endpoint) {
        int at = table.find(now, SetAssociativeTable.keyOf(object, part, endpoint));
        return at < 0 ? 0 : table.value(at);
    }

    /** A node held a copy; whether that was news. What came late is from before. */
    boolean observed(long now, long object, int part, long endpoint, long mintedUs) {
        long key = SetAssociativeTable.keyOf(object, part, endpoint);
        int at = table.find(now, key);
        if (at < 0) {
            table.put(now, table.slotFor(now, key), key, mintedUs, endpoint, object);
            return true;
        }
        boolean newer = mintedUs > table.value(at);
        table.put(now, at, key, Math.max(mintedUs, table.value(at)), endpoint, object);
        return newer;
    }

    /** A cache has gone or has started again with nothing. */
    void forget(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.other(i) == endpoint) {
                table.clear(i);
            }
        }
    }

    /** What was minted of an object before a purge is void. */
    void removeOlder(long object, long atUs) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.last(i) == object && table.value(i) < atUs) {
                table.clear(i);
            }
        }
    }
}
