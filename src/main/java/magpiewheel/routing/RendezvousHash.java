package magpiewheel.routing;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: orders the endpoints for an object in the same way at every router. */
final class RendezvousHash {
    private RendezvousHash() {}

    /** Mixes the bits of a number (the finaliser of SplitMix64). */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Returns a pseudo-random number from 0 (inclusive) to 1 (exclusive) that depends only on the value. */
    static double toUnitInterval(long value) {
        return (mix(value) >>> 11) * 0x1.0p-53;
    }

    /** Returns the order of endpoints for an object. */
    static Comparator<Endpoint> order(long objectId) {
        return Comparator.comparingLong(endpoint -> mix(objectId ^ endpoint.hash));
    }

    /** Returns the first endpoint in the order for an object. */
    static Endpoint first(List<Endpoint> endpoints, long objectId) {
        return Collections.min(endpoints, order(objectId));
    }
}
