package magpiewheel.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import magpiewheel.ipfix.Element;
import magpiewheel.ipfix.MessageWriter;
import magpiewheel.ipfix.Template;
import magpiewheel.pressure.HeavyHitters;
import magpiewheel.records.FlowRecord;
import magpiewheel.records.FlowRing;

/** The parts of flow export beside plain ones: {@code java -cp ... magpiewheel.bench.FlowsBench}. Not a test. */
public final class FlowsBench {
    private static final int ROUNDS = 7;
    private static final int FLOWS = 2_000_000;
    private static final int OBJECTS = 20_000;
    private static final int FILLS = 1_000_000;
    private static volatile long sink;

    private FlowsBench() {}

    /** Runs all and prints medians and ranges. */
    public static void main(String[] args) throws InterruptedException {
        ring(1);
        ring(3);
        queue(1);
        queue(3);
        encode();
        sketch();
    }

    private interface Work {
        void run(int writer);
    }

    /** ns for each flow as its writer sees it, with a reader that never sleeps; what finds no room is tried again. */
    private static void timed(String name, int writers, Work work, Runnable drain) throws InterruptedException {
        List<Double> ns = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            AtomicBoolean stop = new AtomicBoolean();
            Thread reader = new Thread(() -> {
                while (!stop.get()) {
                    drain.run();
                    Thread.onSpinWait();
                }
            });
            reader.start();
            List<Thread> threads = new ArrayList<>();
            long from = System.nanoTime();
            for (int w = 0; w < writers; w++) {
                int number = w;
                Thread thread = new Thread(() -> work.run(number));
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            ns.add((double) (System.nanoTime() - from) / (FLOWS / writers));
            stop.set(true);
            reader.join();
        }
        report(name + ", " + writers + " writers, ns a flow", ns);
    }

    private static void ring(int writers) throws InterruptedException {
        FlowRing ring = new FlowRing(4_096);
        timed(
                "ring",
                writers,
                w -> {
                    for (int i = 0; i < FLOWS / writers; i++) {
                        while (!ring.offer(
                                FlowRecord.Kind.SEND,
                                i,
                                i,
                                1,
                                2,
                                3,
                                4,
                                5,
                                6,
                                0,
                                1,
                                FlowRecord.SourceKind.CACHE,
                                FlowRecord.End.SERVED,
                                FlowRecord.Hit.HIT,
                                i,
                                0,
                                w)) {
                            Thread.onSpinWait();
                        }
                    }
                },
                () -> {
                    while (ring.poll() != null) {
                        sink++;
                    }
                });
    }

    private static void queue(int writers) throws InterruptedException {
        ArrayBlockingQueue<FlowRecord> queue = new ArrayBlockingQueue<>(4_096);
        timed(
                "array blocking queue",
                writers,
                w -> {
                    for (int i = 0; i < FLOWS / writers; i++) {
                        FlowRecord flow = new FlowRecord(
                                FlowRecord.Kind.SEND,
                                i,
                                i,
                                1,
                                2,
                                3,
                                4,
                                5,
                                6,
                                1,
                                0,
                                1,
                                FlowRecord.SourceKind.CACHE,
                                FlowRecord.End.SERVED,
                                FlowRecord.Hit.HIT,
                                i,
                                0,
                                w);
                        while (!queue.offer(flow)) {
                            Thread.onSpinWait();
                        }
                    }
                },
                () -> {
                    while (queue.poll() != null) {
                        sink++;
                    }
                });
    }

    private static void encode() {
        MessageWriter out = new MessageWriter(1_420, 1, 32_473);
        Template flow = out.template(
                256,
                0,
                List.of(
                        Element.START_MS,
                        Element.END_MS,
                        Element.SOURCE_ADDRESS,
                        Element.TARGET_ADDRESS,
                        Element.SOURCE_PORT,
                        Element.TARGET_PORT,
                        Element.PROTOCOL,
                        Element.PAYLOAD_OCTETS,
                        Element.OBJECT,
                        Element.CLASS,
                        Element.BRANCH));
        List<Double> perS = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            long from = System.nanoTime();
            for (int i = 0; i < FLOWS; i++) {
                int number = i;
                while (!out.record(flow, at -> {
                    at.putLong(number)
                            .putLong(number)
                            .putInt(1)
                            .putInt(2)
                            .putShort((short) 3)
                            .putShort((short) 4)
                            .put((byte) 6);
                    at.putLong(number).putLong(number);
                    MessageWriter.text(at, "video");
                    MessageWriter.text(at, "edge-1");
                })) {
                    sink += out.close(1).remaining();
                }
            }
            perS.add(FLOWS * 1e9 / (System.nanoTime() - from));
        }
        report("encoded records a second on one thread", perS);
    }

    /** A Zipf stream (exponent 1) with a flash of three new large objects in its middle. */
    private static void sketch() {
        double[] share = new double[OBJECTS];
        double sum = 0;
        for (int i = 0; i < OBJECTS; i++) {
            sum += 1.0 / (i + 1);
            share[i] = sum;
        }
        for (int counters : new int[] {32, 64, 128, 256}) {
            List<Double> recall = new ArrayList<>();
            List<Double> error = new ArrayList<>();
            List<Double> sketchNs = new ArrayList<>();
            List<Double> mapNs = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                SplittableRandom random = new SplittableRandom(round);
                long[] objects = new long[FILLS];
                long[] octets = new long[FILLS];
                for (int i = 0; i < FILLS; i++) {
                    boolean flash = i > FILLS / 2 && i < FILLS / 2 + FILLS / 10 && random.nextInt(5) == 0;
                    int place = Arrays.binarySearch(share, random.nextDouble() * sum);
                    objects[i] = flash ? OBJECTS + random.nextInt(3) : place < 0 ? -place - 1 : place;
                    octets[i] = (long) (20_000 * Math.exp(random.nextDouble() * 2)) * (flash ? 10 : 1);
                }
                HeavyHitters sketch = new HeavyHitters(counters);
                long from = System.nanoTime();
                for (int i = 0; i < FILLS; i++) {
                    sketch.add(objects[i], octets[i]);
                }
                sketchNs.add((double) (System.nanoTime() - from) / FILLS);
                Map<Long, Long> exact = new HashMap<>();
                from = System.nanoTime();
                for (int i = 0; i < FILLS; i++) {
                    exact.merge(objects[i], octets[i], Long::sum);
                }
                mapNs.add((double) (System.nanoTime() - from) / FILLS);
                Set<Long> top = new HashSet<>(exact.entrySet().stream()
                        .sorted((a, b) -> Long.compare(b.getValue(), a.getValue()))
                        .limit(10)
                        .map(Map.Entry::getKey)
                        .toList());
                double found = 0;
                double worst = 0;
                for (HeavyHitters.Hitter hitter : sketch.top(10)) {
                    found += top.contains(hitter.object()) ? 1 : 0;
                    worst = Math.max(worst, (double) hitter.octets() / exact.get(hitter.object()) - 1);
                }
                recall.add(found / 10);
                error.add(worst);
            }
            report("sketch of " + counters + ": share of the true top 10 found", recall);
            report("sketch of " + counters + ": largest byte error in its top 10", error);
            report("sketch of " + counters + ": ns a fill", sketchNs);
            report("exact map of up to " + OBJECTS + ": ns a fill", mapNs);
        }
    }

    private static void report(String name, List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        System.out.printf(
                "%-60s median %14.3f  from %14.3f to %14.3f%n",
                name, sorted.get(sorted.size() / 2), sorted.get(0), sorted.get(sorted.size() - 1));
    }
}
