package magpiewheel.fabric;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import magpiewheel.fabric.Copy.Given;
import magpiewheel.fabric.Copy.Withheld;
import magpiewheel.wire.Fleet;
import magpiewheel.wire.StandInNode;

/**
 * Four branches of two fronts and a cache on one hub, with parents and the origin there. What a test judges is what
 * these were asked.
 */
final class Branches implements AutoCloseable {
    static final int BRANCHES = 4;
    static final int FRONTS = 2;
    static final int FIRST_PARENT = 0xe0000001;
    static final Spot ORIGIN = new Spot(0xf0000009, 0, Spot.STORE);
    /** Transfers at once that a parent carries: with four of them, what all links do. */
    private static final double CAPACITY = 36;

    static final int LINK_KB_PER_S = 180_000;

    /** The parent that most of some fills name, and the share of them. */
    record Most(Spot parent, double share) {}

    /**
     * A front named a source for a miss; the request it was for had been put at a time, and the cache read it at
     * another.
     */
    record Fill(int front, String source, long object, long putNs, long readNs) {
        /** The branch of the front, from 0. */
        int branch() {
            return front / FRONTS;
        }
    }

    final Fabric fabric;
    final StandInOrigin origin;
    final List<Spot> parents = new ArrayList<>();
    private final Map<String, Source> sources = new LinkedHashMap<>();
    private final Queue<Fill> fills = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> putNs = new ConcurrentHashMap<>();

    /** With so many parents, and regions that elect or not; not started yet. */
    Branches(long seed, int parentCount, boolean regions) throws IOException {
        List<String> zones = new ArrayList<>(List.of("central"));
        List<Integer> fronts = new ArrayList<>(List.of(0));
        List<Integer> links = new ArrayList<>(List.of(0));
        List<Spot> caches = new ArrayList<>();
        for (int branch = 1; branch <= BRANCHES; branch++) {
            zones.add("b" + branch);
            fronts.add(FRONTS);
            links.add(LINK_KB_PER_S);
            caches.add(new Spot(branch, branch, Spot.BOX));
        }
        for (int i = 0; i < parentCount; i++) {
            parents.add(new Spot(FIRST_PARENT + i, 0, Spot.UPPER));
        }
        List<Spot> spots = new ArrayList<>(caches);
        spots.addAll(parents);
        spots.add(ORIGIN);
        List<Integer> hubs = zones.stream().map(zone -> 0).toList();
        fabric = new Fabric(seed, Rig.plain(new Fleet.Sites(zones, fronts, hubs, links, true), spots));
        if (regions) {
            fabric.electing();
        }
        origin = new StandInOrigin(seed);
        for (Spot cache : caches) {
            StandInCache standIn = new StandInCache(sources);
            fabric.node(cache).abreast(line -> {
                Asked asked = read(line);
                return standIn.answer(asked);
            });
        }
        for (Spot parent : parents) {
            source(parent, new StandInParent(origin, CAPACITY));
        }
        source(ORIGIN, origin);
    }

    /** A source stands in for itself where a front asks it past the caches. */
    private void source(Spot spot, Source source) {
        sources.put(spot.name(), source);
        StandInNode node = fabric.node(spot);
        node.abreast(line -> {
            Asked asked = Asked.read(line);
            noted(asked, spot.name());
            try {
                Given given = source.give(asked);
                return StandInCache.line(
                        asked,
                        "DONE",
                        StandInCache.fields(given.byOrigin() ? "via_origin" : "hit", given.copy()),
                        StandInCache.BODY);
            } catch (Withheld e) {
                return StandInCache.line(asked, e.word, "tell=" + e.tells, new byte[0]);
            }
        });
    }

    private Asked read(String line) {
        Asked asked = Asked.read(line);
        if (asked.via() != null) {
            noted(asked, asked.via());
        }
        return asked;
    }

    private void noted(Asked asked, String source) {
        fills.add(new Fill(
                asked.front(),
                source,
                asked.part().object(),
                putNs.getOrDefault(asked.trace(), 0L),
                System.nanoTime()));
    }

    /** A client is about to put a request. */
    void puts(String trace) {
        putNs.put(trace, System.nanoTime());
    }

    /** All fills that fronts have named a source for, in their order. */
    List<Fill> fills() {
        return List.copyOf(fills);
    }

    /** From now on each parent is so much farther for one of the branches. */
    void far(long ms) {
        for (int i = 0; i < parents.size(); i++) {
            long[] far = new long[BRANCHES * FRONTS];
            Arrays.fill(far, i % BRANCHES * FRONTS, (i % BRANCHES + 1) * FRONTS, ms);
            parent(parents.get(i)).far(far);
        }
    }

    /** Those of requests that were put since a time. */
    List<Fill> fillsSince(long ns) {
        return fills.stream().filter(fill -> fill.putNs() - ns >= 0).toList();
    }

    /** Which parent most of these fills name. */
    Most most(List<Fill> some) {
        return parents.stream()
                .map(spot -> new Most(spot, share(some, spot)))
                .max(Comparator.comparingDouble(Most::share))
                .orElseThrow();
    }

    /** The share of these fills that name a node. */
    static double share(List<Fill> some, Spot spot) {
        return some.stream().filter(fill -> fill.source().equals(spot.name())).count()
                / (double) Math.max(1, some.size());
    }

    StandInParent parent(Spot spot) {
        return (StandInParent) sources.get(spot.name());
    }

    @Override
    public void close() throws IOException {
        fabric.close();
    }
}
