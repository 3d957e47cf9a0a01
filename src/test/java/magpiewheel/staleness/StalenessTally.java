package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.List;

/** One history: what is asked of it and what came of it. */
final class StalenessTally {
    long strict;
    long strictServed;
    long strictRefused;
    long atOnce;
    /** Reads that went to the origin itself for want of its clock. */
    long learning;

    long preferred;
    long preferredOld;
    long hits;
    long answers;
    final List<String> beyond = new ArrayList<>();
    final List<String> back = new ArrayList<>();
    final List<String> purged = new ArrayList<>();
    final List<String> odd = new ArrayList<>();
    long sent;
    long mostBytes;
    long ties;

    void add(StalenessTally one) {
        strict += one.strict;
        strictServed += one.strictServed;
        strictRefused += one.strictRefused;
        atOnce += one.atOnce;
        learning += one.learning;
        preferred += one.preferred;
        preferredOld += one.preferredOld;
        sent += one.sent;
        ties += one.ties;
        beyond.addAll(one.beyond);
        back.addAll(one.back);
        purged.addAll(one.purged);
        odd.addAll(one.odd);
    }
}
