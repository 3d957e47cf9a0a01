package magpiewheel.region;

import java.util.List;

/** What fronts say to each other about regions. */
sealed interface RegionMessage {
    /** What stands in each: whose region, in which term, and the start of the process that says it (Unix ms). */
    record Header(int region, long term, long startedMs) {}

    Header header();

    /**
     * A proposer asks for a leader's lease, first or again. {@code clock} is the asker's when it asked. If it holds the
     * lease, {@code leftUs} is what is left of it and {@code echo} the clock of the voter's last vote in this term: the
     * voter may use the leader for so long, counted from there. {@code ageUs} is how long the leader has led.
     */
    record LeaseRequest(
            Header header,
            long leader,
            long sentAt,
            long echoedVoteAt,
            long remainingUs,
            long leadingForUs,
            Placement placement)
            implements RegionMessage {}

    /** Which objects go to the second in rank: the hot ones named, and a slice of all others in 255ths. */
    record Placement(long second, int slice, List<Long> hotObjects) {
        static final Placement NONE = new Placement(0, 0, List.of());
    }

    /**
     * The word of a front on an ask: {@code echo} is the ask's clock, {@code clock} the voter's own. One that says no
     * names the term it holds to. {@code sent} is what it sent to the leader a second, {@code hot} the object most of
     * it was for, {@code hotSent} that object's part; then what it measured of the parents.
     */
    record Vote(
            Header header,
            boolean granted,
            int zone,
            long votedAt,
            long requestSentAt,
            long votedTerm,
            double sentPerS,
            long hotObject,
            double hotSentPerS,
            List<ParentReport> reports)
            implements RegionMessage {}

    /**
     * What one front measured of a parent lately: first bytes, the shares of fills that failed, of its link that is
     * free, and of fills that it held already; {@code samples} behind it (at most 255); for how long it has been silent
     * while answers were overdue (0: none is); and how long ago it last answered, in steps of 20 ms up to 5 s.
     */
    record ParentReport(
            long parent,
            long firstByteUs,
            double failureRatio,
            double freeCapacity,
            double hitRatio,
            int samples,
            long silentUs,
            long answeredAgoUs) {}

    /** The leader's answer is overdue here: so many of them, the first for so long. */
    record Suspicion(Header header, long leader, long silentUs, int overdue) implements RegionMessage {}

    /** What is known of loads and of who leads elsewhere; the later version counts. */
    record DirectoryUpdate(Header header, List<ZoneLoad> loads, List<LeadershipClaim> claims)
            implements RegionMessage {}

    /** The measured load of a branch, and its place on its hub (-1: none). */
    record ZoneLoad(int zone, long version, double load, int homeSlot) {}

    /** A parent leads a region with such a load; said so long ago at its source. */
    record LeadershipClaim(int region, long term, long leader, double load, long agoUs) {}
}
