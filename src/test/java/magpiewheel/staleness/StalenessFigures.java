package magpiewheel.staleness;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Prints the figures of docs/measurements/pins.md. Arguments: the number of histories per fault and the number of
 * histories for the hit shares; without arguments neither is run.
 */
final class StalenessFigures {
    private static final long NOW = 1_764_576_000_000_000L;
    private static final int ROUNDS = 25;
    private static final int OPERATIONS_PER_ROUND = 200_000;
    private static long sink;

    private StalenessFigures() {}

    public static void main(String[] args) {
        if (args.length > 0) {
            runHistories(Integer.parseInt(args[0]));
            measureHitShares(Integer.parseInt(args[1]));
        }
        measureDrain();
        measureTables();
        measureDecisions();
        System.out.println("(" + sink % 2 + ")");
    }

    private static void runHistories(int histories) {
        for (HistoryFault fault : HistoryFault.values()) {
            StalenessTally sum = new StalenessTally();
            for (long seed = 1; seed <= histories; seed++) {
                sum.add(new StalenessWorld(seed, fault, HintUse.PINS).play(20));
            }
            System.out.printf(
                    "| %s | %d | %d | %d | %d | %d | %.4f | %.4f | %.4f | %.4f | %d | %.1f |%n",
                    fault,
                    sum.strictReads,
                    sum.boundViolations.size(),
                    sum.sessionRegressions.size(),
                    sum.purgeViolations.size(),
                    sum.understatedAges.size(),
                    1.0 * sum.strictRejected / sum.strictReads,
                    1.0 * sum.rejectedAtOnce / sum.strictReads,
                    1 - 1.0 * (sum.strictServed + sum.strictRejected) / sum.strictReads,
                    1.0 * sum.preferViolations / sum.preferReads,
                    sum.markTies,
                    sum.messagesSent / 20.0 / StalenessWorld.ROUTERS / histories);
            for (List<String> all :
                    List.of(sum.boundViolations, sum.sessionRegressions, sum.purgeViolations, sum.understatedAges)) {
                all.stream().limit(3).forEach(System.out::println);
            }
        }
    }

    /**
     * Compares hit shares of the same seeds without hints, with bounds and marks only, and with sticky sessions too.
     */
    private static void measureHitShares(int histories) {
        for (HistoryFault fault : List.of(HistoryFault.NONE, HistoryFault.CACHES, HistoryFault.ALL)) {
            for (HintUse hints : HintUse.values()) {
                double[] shares = LongStream.rangeClosed(1, histories)
                        .mapToDouble(seed -> {
                            StalenessTally tally = new StalenessWorld(seed, fault, hints).play(20);
                            return 1.0 * tally.hits / tally.repliesWithCopy;
                        })
                        .toArray();
                double mean = Arrays.stream(shares).average().orElseThrow();
                double spread = Math.sqrt(
                        Arrays.stream(shares).map(s -> (s - mean) * (s - mean)).sum() / (histories - 1));
                System.out.printf(
                        "| %s | %s | %.4f +- %.4f |%n", fault, hints, mean, 1.96 * spread / Math.sqrt(histories));
            }
        }
    }

    /** Counts the assignments that move when one of eight caches drains and becomes available again. */
    private static void measureDrain() {
        StickyReplicaTable pins = new StickyReplicaTable(1 << 14, 600_000_000);
        pins.replicasChanged(NOW, StalenessComponentsTest.caches(8, 0));
        int count = 8_000;
        long[] at = new long[count];
        for (int i = 0; i < count; i++) {
            at[i] = 1 + Math.floorMod(SetAssociativeTable.hash(i), 8);
            pins.assign(NOW, 1 + i, i % 500, at[i]);
        }
        long[] pinned = IntStream.range(0, count)
                .mapToLong(i -> pins.replicaOf(NOW, 1 + i, i % 500))
                .toArray();
        int held = pins.assignedTo(3);
        pins.replicasChanged(NOW + 1, StalenessComponentsTest.caches(8, 3));
        long moved = IntStream.range(0, count)
                .filter(i -> pinned[i] != 3 && pins.replicaOf(NOW + 1, 1 + i, i % 500) != pinned[i])
                .count();
        System.out.printf(
                "pins %d, at the cache %d, there after it drains %d, of others' moved %d%n",
                pins.totalAssigned() + held, held, pins.assignedTo(3), moved);
        for (int i = 0; i < count; i++) {
            if (pinned[i] == 3) {
                pins.assign(NOW + 2, 1 + i, i % 500, 4 + i % 5);
            }
        }
        pins.replicasChanged(NOW + 10_000_000, StalenessComponentsTest.caches(8, 0));
        long before = 0;
        long most = 0;
        for (int s = 1; s <= 21; s++) {
            long time = NOW + 10_000_000 + s * 1_000_000L;
            long back = IntStream.range(0, count)
                    .filter(i -> pinned[i] == 3 && pins.replicaOf(time, 1 + i, i % 500) == 3)
                    .count();
            most = Math.max(most, back - before);
            before = back;
        }
        System.out.printf("back after 21 s %d, most in one of these seconds %d%n", before, most);
    }

    private record Key(long object, int part, long node) {}

    private static final class Held {
        long minted;
    }

    /** Compares the set-associative table with a LinkedHashMap in access order. */
    private static void measureTables() {
        int most = 1 << 15;
        usedHeapBytes();
        usedHeapBytes();
        long base = usedHeapBytes();
        ReplicaIndex arrays = new ReplicaIndex(most, 120_000_000);
        long arrayBytes = usedHeapBytes() - base;
        base = usedHeapBytes();
        Map<Key, Held> map = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, Held> eldest) {
                return size() > most;
            }
        };
        for (int i = 0; i < most; i++) {
            Held held = new Held();
            held.minted = NOW;
            map.put(new Key(i / 8, 0, 1 + i % 8), held);
        }
        long mapBytes = usedHeapBytes() - base;
        for (int i = 0; i < most; i++) {
            arrays.observed(NOW, i / 8, 0, 1 + i % 8, NOW);
        }
        SplittableRandom random = new SplittableRandom(1);
        long[] objects = random.longs(1 << 16, 0, most / 8).toArray();
        double inArrays = time(i -> arrays.originTimeOf(NOW, objects[i & 65_535], 0, 1 + (i & 7)));
        double inMap = time(i -> {
            Held held = map.get(new Key(objects[i & 65_535], 0, 1 + (i & 7)));
            return held == null ? 0 : held.minted;
        });
        double newInArrays = time(i -> arrays.observed(NOW, i, 1, 1, NOW + i) ? 1 : 0);
        double newInMap = time(i -> {
            Held held = new Held();
            held.minted = NOW + i;
            map.put(new Key(i, 1, 1), held);
            return 1;
        });
        ReplicaIndex filledOnce = new ReplicaIndex(most, 120_000_000);
        IntStream.range(0, most).forEach(i -> filledOnce.observed(NOW, i / 8, 0, 1 + i % 8, NOW));
        long found = IntStream.range(0, most)
                .filter(i -> filledOnce.originTimeOf(NOW, i / 8, 0, 1 + i % 8) != 0)
                .count();
        System.out.printf(
                "lookup ns: arrays %.0f, map %.0f; new entry ns: arrays %.0f, map %.0f; bytes an entry: arrays %.0f, "
                        + "map %.0f; of %d put in once arrays still hold %d, map %d%n",
                inArrays,
                inMap,
                newInArrays,
                newInMap,
                1.0 * arrayBytes / most,
                1.0 * mapBytes / most,
                most,
                found,
                most);
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /**
     * Measures the decisions of one read with a hint: bound, selection among eight caches, parent check, age limit,
     * proof, and recording of the served copy.
     */
    private static void measureDecisions() {
        BoundedStalenessReads pins =
                new BoundedStalenessReads(NOW - 10_000_000, 0, 0, new FixedMembershipView(), (to, bytes) -> {});
        pins.replicasChanged(NOW, StalenessComponentsTest.caches(8, 0));
        pins.discoveryHeard(NOW - 2_000_000);
        pins.discoveryHeard(NOW - 500_000);
        pins.discoveryHeard(NOW);
        pins.responseReceived(NOW - 10_000, NOW, NOW, true);
        SplittableRandom random = new SplittableRandom(2);
        for (int i = 0; i < 20_000; i++) {
            pins.responseServed(
                    NOW,
                    new ReadHint(0, 0, 1 + i, false),
                    random.nextInt(3_000),
                    0,
                    1 + random.nextInt(8),
                    NOW - random.nextInt(4_000_000));
        }
        List<Long> eight = LongStream.rangeClosed(1, 8).boxed().toList();
        ReadHint[] hints = IntStream.range(0, 4_096)
                .mapToObj(i -> new ReadHint(
                        i % 3 == 0 ? 0 : 1_500_000,
                        i % 2 == 0 ? NOW / 1_000 - random.nextInt(3_000) : 0,
                        1 + random.nextInt(20_000),
                        i % 5 != 0))
                .toArray(ReadHint[]::new);
        double[] all = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            all[i] = round(n -> {
                ReadHint hint = hints[n & 4_095];
                long object = SetAssociativeTable.hash(n) & 2_047;
                StalenessBound bound = pins.boundOf(NOW, hint, 5_000_000, 10_000_000, 0);
                long node = pins.preferredReplica(NOW, hint, object, 0, eight, bound);
                boolean parent = pins.mayBeAcceptable(NOW, object, 0, 101, bound);
                long fresh = pins.maxAgeUs(NOW, object, 0, node == 0 ? 1 : node, bound);
                boolean admitted = pins.accepts(NOW, bound, NOW - 100_000);
                pins.responseServed(NOW, hint, object, 0, node == 0 ? 1 : node, NOW - 100_000 + (n & 1_023));
                return node + fresh + (parent ? 1 : 0) + (admitted ? 1 : 0);
            });
        }
        Arrays.sort(all);
        System.out.printf(
                "one hinted read's decisions: median of %d rounds of %d: %.0f ns, slowest round %.0f ns%n",
                ROUNDS, OPERATIONS_PER_ROUND, all[ROUNDS / 2], all[ROUNDS - 1]);
    }

    private interface Operation {
        long run(int number);
    }

    private static double time(Operation operation) {
        double[] all = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            all[i] = round(operation);
        }
        Arrays.sort(all);
        return all[ROUNDS / 2];
    }

    private static double round(Operation operation) {
        // CPU time of this thread, since other threads may use the processor meanwhile.
        long from = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < OPERATIONS_PER_ROUND; i++) {
            sink += operation.run(i);
        }
        return 1.0 * (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - from) / OPERATIONS_PER_ROUND;
    }
}
