package magpiewheel.staleness;

/**
 * The last known origin time of each endpoint's copy of an object part. Bounded, entries expire; a guess that guides
 * the selection and never proves a read.
 */
final class ReplicaIndex {
    private final SetAssociativeTable table;

    ReplicaIndex(int maxEntries, long maxAgeUs) {
        table = new SetAssociativeTable(maxEntries, maxAgeUs);
    }

    /** Returns the origin time of the last copy seen at an endpoint, or 0 if none is known. */
    long originTimeOf(long now, long object, int part, long endpoint) {
        int index = table.find(now, SetAssociativeTable.keyOf(object, part, endpoint));
        return index < 0 ? 0 : table.first(index);
    }

    /** Records a copy that an endpoint holds. Returns whether it was newer than known; an older one changes nothing. */
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

    /** Removes all copies of a cache that was removed or has restarted empty. */
    void forget(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.second(i) == endpoint) {
                table.clear(i);
            }
        }
    }

    /** Removes the copies of an object that are older than a purge. */
    void removeOlder(long object, long purgedAtUs) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.third(i) == object && table.first(i) < purgedAtUs) {
                table.clear(i);
            }
        }
    }
}
