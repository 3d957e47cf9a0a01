package magpiewheel.histories;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Histories of pinned reads with real processes, judged from outside: {@code HistoryMeasure HISTORIES [FIRST_SEED
 * [off]]}, or {@code HistoryMeasure hits HISTORIES}. Not a test. It is run from the root by {@code mvn -q -B -o
 * test-compile exec:exec -Dexec.executable=java -Dexec.classpathScope=test -Dexec.args="-cp %classpath
 * magpiewheel.histories.HistoryMeasure 200"}.
 */
public final class HistoryMeasure {
    private static final int FRONTS = 5;
    private static final int SHOWN = 5;
    /** Histories that a fleet serves. */
    private static final int EACH = 20;

    private static final int DEEDS = 150;

    /** Sums over histories of one kind. */
    private static final class Sums {
        private final long[] all = new long[9];

        void add(History history) {
            long[] each = {
                1,
                history.reads(),
                history.served(true),
                history.hintedReads(),
                history.strictServed(),
                history.refused(),
                history.failed(),
                history.refusedWithoutPause(),
                history.refusedLate()
            };
            for (int i = 0; i < each.length; i++) {
                all[i] += each[i];
            }
        }

        @Override
        public String toString() {
            return String.format(
                    "%d | %d | %d | %d | %d | %d (%.2f%%) | %d (%.2f%%) | %d | %d",
                    all[0],
                    all[1],
                    all[2],
                    all[3],
                    all[4],
                    all[5],
                    100.0 * all[5] / Math.max(1, all[3]),
                    all[6],
                    100.0 * all[6] / Math.max(1, all[3]),
                    all[7],
                    all[8]);
        }
    }

    private HistoryMeasure() {}

    /** A fleet that goes with this process, however that ends. */
    private static HistoryFleet fleet(long seed, boolean pins) throws Exception {
        HistoryFleet fleet = new HistoryFleet(seed, FRONTS, pins);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                fleet.close();
            } catch (IOException e) {
                System.err.println(e);
            }
        }));
        return fleet;
    }

    /** Prints a line for each figure. */
    public static void main(String[] args) throws Exception {
        if (args[0].equals("hits")) {
            hits(Integer.parseInt(args[1]));
        } else {
            histories(Integer.parseInt(args[0]), args.length > 1 ? Long.parseLong(args[1]) : 1, args.length < 3);
        }
        System.exit(0);
    }

    private static void histories(int count, long firstSeed, boolean pins) throws Exception {
        Map<Faults.Kind, Sums> byKind = new EnumMap<>(Faults.Kind.class);
        Map<Checker.Kind, Integer> broken = new TreeMap<>();
        int shown = 0;
        int sameMs = 0;
        HistoryFleet fleet = fleet(firstSeed, pins);
        try {
            for (long seed = firstSeed; seed < firstSeed + count; seed++) {
                if (seed % EACH == 0 && seed > firstSeed) {
                    System.out.println("seeds before " + seed + ": " + broken);
                    fleet.close();
                    fleet = fleet(seed, pins);
                }
                Faults.Kind kind = Faults.Kind.values()[(int) (seed % Faults.Kind.values().length)];
                History history = fleet.play(seed, kind);
                byKind.computeIfAbsent(kind, key -> new Sums()).add(history);
                Checker checker = history.judged();
                sameMs += checker.sameMs();
                checker.violations().forEach(violation -> broken.merge(violation.kind(), 1, Integer::sum));
                if (!checker.violations().isEmpty() && shown++ < SHOWN) {
                    System.out.println(history.story() + "\n" + checker.shown());
                }
            }
        } finally {
            fleet.close();
        }
        System.out.println("seeds " + firstSeed + " to " + (firstSeed + count - 1) + ", violations " + broken
                + ", older within the mark's millisecond " + sameMs);
        System.out.println(
                "kind | histories | reads served | writes | hinted reads | strict served | refused | failed | "
                        + "refused without pause | refused after 100 ms");
        byKind.forEach((kind, sums) -> System.out.println(kind + " | " + sums));
    }

    private static String share(long hit, long all) {
        return String.format("%d of %d reads without a fill (%.2f%%)", hit, all, 100.0 * hit / Math.max(1, all));
    }

    /** The same traffic, calm, with all hints, without pins, and without hints. */
    private static void hits(int count) throws Exception {
        Map<Session.Hints, Map<Session.Role, long[]>> sums = new EnumMap<>(Session.Hints.class);
        try (HistoryFleet fleet = fleet(1, true)) {
            for (long seed = 1; seed <= count; seed++) {
                for (Session.Hints hints : Session.Hints.values()) {
                    History history = fleet.calm(seed, hints, DEEDS);
                    for (Session.Role role : Session.Role.values()) {
                        sums.computeIfAbsent(hints, key -> new EnumMap<>(Session.Role.class))
                                .computeIfAbsent(role, key -> new long[2]);
                        sums.get(hints).get(role)[0] += history.hits(role);
                        sums.get(hints).get(role)[1] += history.reads(role);
                    }
                }
            }
        }
        sums.forEach((hints, roles) -> {
            long hit = roles.values().stream().mapToLong(each -> each[0]).sum();
            long all = roles.values().stream().mapToLong(each -> each[1]).sum();
            System.out.println(hints + ": " + share(hit, all) + "; "
                    + roles.entrySet().stream()
                            .map(role -> role.getKey() + " " + share(role.getValue()[0], role.getValue()[1]))
                            .collect(Collectors.joining(", ")));
        });
    }
}
