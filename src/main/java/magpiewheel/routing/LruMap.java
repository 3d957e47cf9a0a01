package magpiewheel.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map with numeric keys that evicts the least recently used entry when it exceeds its capacity. */
final class LruMap<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;
    private final int maxEntries;

    LruMap(int maxEntries) {
        super(16, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > maxEntries;
    }
}
