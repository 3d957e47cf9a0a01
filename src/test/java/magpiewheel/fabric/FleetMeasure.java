package magpiewheel.fabric;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import magpiewheel.wire.Fleet;

/**
 * What a fleet costs and how it takes faults, in figures: {@code FleetMeasure [ROUNDS [kills]]}. Not a test. It is run
 * from the root by {@code mvn -q -B -o test-compile exec:exec -Dexec.executable=java -Dexec.classpathScope=test
 * -Dexec.args="-cp %classpath magpiewheel.fabric.FleetMeasure 5"}.
 */
public final class FleetMeasure {
    private static final int[] SIZES = {4, 8, 16};
    private static final int MOST_AT_ONCE = 8;
    private static final long SETTLE_MS = 2_000;
    private static final long COUNT_MS = 5_000;
    private static final long PAUSE_MS = 300;
    private static final long LOSS_MS = 10_000;
    private static final double LOSS = 0.2;
    private static final Set<Integer> HALF = new TreeSet<>(List.of(1, 3, 4, 6));

    private FleetMeasure() {}

    /** Prints a line for each figure. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
        boolean all = args.length < 2;
        for (int size : all ? SIZES : new int[0]) {
            try (Fabric fabric = new Fabric(size, size)) {
                cost(fabric.start(), size);
            }
        }
        try (Fabric fabric = new Fabric(99, MOST_AT_ONCE)) {
            fabric.start().passRefusals(true);
            if (all) {
                loss(fabric);
                pauses(fabric, rounds);
                splits(fabric, rounds);
            }
            kills(fabric, rounds, "");
        }
        try (Fabric fabric = new Fabric(98, MOST_AT_ONCE).knocking()) {
            fabric.start();
            say("refusals on:");
            if (all) {
                loss(fabric);
            }
            pauses(fabric, rounds);
            kills(fabric, rounds, ", refusals on");
        }
        System.exit(0);
    }

    private static void say(String line) {
        System.out.println(line);
    }

    private static long ms(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }

    private static void cost(Fabric fabric, int size) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        long from = System.nanoTime();
        long datagrams = fabric.everyone().stream().mapToLong(fabric::datagrams).sum();
        long octets = fabric.everyone().stream().mapToLong(fabric::octets).sum();
        TimeUnit.MILLISECONDS.sleep(COUNT_MS);
        double seconds = (System.nanoTime() - from) / 1e9;
        datagrams = fabric.everyone().stream().mapToLong(fabric::datagrams).sum() - datagrams;
        octets = fabric.everyone().stream().mapToLong(fabric::octets).sum() - octets;
        say(String.format(
                "%d fronts, steady: %.0f datagrams and %.0f octets a second a front",
                size, datagrams / seconds / size, octets / seconds / size));
    }

    private static void loss(Fabric fabric) throws InterruptedException {
        try (Watch watch = fabric.watch(fabric.everyone())) {
            fabric.lose(Fabric.ALL, Fabric.ALL, LOSS);
            List<Watch.Sample> all = watch.goOn(LOSS_MS).all();
            List<Watch.Sample> missing = Watch.missing(all, fabric.everyone());
            say(String.format(
                    "%.0f%% lost for %d s: %d of %d answers miss a sound front",
                    100 * LOSS, LOSS_MS / 1_000, missing.size(), all.size()));
        }
        fabric.heal();
        fabric.awaitWhole(Fleet.WAIT_MS);
    }

    private static void pauses(Fabric fabric, int rounds) throws Exception {
        List<String> each = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            int front = round % MOST_AT_ONCE;
            List<Integer> others =
                    fabric.everyone().stream().filter(i -> i != front).toList();
            try (Watch watch = fabric.watch(others)) {
                Fabric.Stretch pause = fabric.pause(front, PAUSE_MS);
                List<Watch.Sample> all = watch.goOn(1_000).since(pause.fromNs());
                each.add(Watch.missing(all, fabric.everyone()).size() + " of " + all.size() + " (" + pause.ms()
                        + " ms)");
            }
            fabric.awaitWhole(Fleet.WAIT_MS);
        }
        say("paused for " + PAUSE_MS + " ms, answers of others that miss a front: " + each);
    }

    private static void splits(Fabric fabric, int rounds) throws Exception {
        List<Long> each = new ArrayList<>();
        Set<Integer> rest = new TreeSet<>(fabric.everyone());
        rest.removeAll(HALF);
        for (int round = 0; round < rounds; round++) {
            fabric.split(HALF);
            for (int front : fabric.everyone()) {
                fabric.awaitNames(front, HALF.contains(front) ? HALF : rest, Fleet.WAIT_MS);
            }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            fabric.heal();
            each.add(fabric.awaitWhole(Fleet.WAIT_MS));
        }
        say("split into halves, from its healing to equal answers: " + each + " ms, the longest "
                + Collections.max(each));
    }

    private static void kills(Fabric fabric, int rounds, String how) throws Exception {
        List<Long> each = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            Set<Integer> rest = new TreeSet<>(fabric.everyone());
            rest.removeAll(HALF);
            try (Watch watch = fabric.watch(rest)) {
                long gone = fabric.kill(HALF.toArray(Integer[]::new));
                each.add(Watch.naming(watch.goOn(2_000).since(gone), HALF).stream()
                        .mapToLong(sample -> ms(sample.askedNs() - gone))
                        .max()
                        .orElse(0));
            }
            for (int front : HALF) {
                fabric.start(front);
            }
            fabric.awaitWhole(Fleet.WAIT_MS);
        }
        say("half of " + MOST_AT_ONCE + " killed" + how + ", last answer that names one was asked for after: " + each
                + " ms, the longest " + Collections.max(each));
    }
}
