package magpiewheel.routing;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: the order of endpoints for an object, the same at every router. */
final class RendezvousHash {
    private RendezvousHash() {}

    /** Mixes a number's bits well (the finaliser of SplitMix64). */
    static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** A number from 0 to 1 (never 1 itself) that seems drawn at random but is the same for the same value. */
    static double toUnitInterval(long value) {
        return (mix(value) >>> 11) * 0x1.0p-53;
    }

    /** From the first to the last for an object. */
    static Comparator<Endpoint> order(long objectId) {
        return Comparator.comparingLong(endpoint -> mix(objectId ^ endpoint.hash));
    }

    /** The first for an object. */
    static Endpoint first(List<Endpoint> endpoints, long objectId) {
        return Collections.min(endpoints, order(objectId));
    }
}
