package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.List;

/** Counts of reads and replies in one history, and descriptions of the violations found. */
final class StalenessTally {
    long strictReads;
    long strictServed;
    long strictRejected;
    long rejectedAtOnce;
    /** Reads that were sent to the origin because its clock was unknown. */
    long originClockReads;

    long preferReads;
    long preferViolations;
    long hits;
    long repliesWithCopy;
    final List<String> boundViolations = new ArrayList<>();
    final List<String> sessionRegressions = new ArrayList<>();
    final List<String> purgeViolations = new ArrayList<>();
    final List<String> understatedAges = new ArrayList<>();
    long messagesSent;
    long maxMessageBytes;
    long markTies;

    void add(StalenessTally other) {
        strictReads += other.strictReads;
        strictServed += other.strictServed;
        strictRejected += other.strictRejected;
        rejectedAtOnce += other.rejectedAtOnce;
        originClockReads += other.originClockReads;
        preferReads += other.preferReads;
        preferViolations += other.preferViolations;
        messagesSent += other.messagesSent;
        markTies += other.markTies;
        boundViolations.addAll(other.boundViolations);
        sessionRegressions.addAll(other.sessionRegressions);
        purgeViolations.addAll(other.purgeViolations);
        understatedAges.addAll(other.understatedAges);
    }
}
