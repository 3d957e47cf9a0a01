package magpiewheel.region;

import java.util.List;

/** What routers send each other about regions. */
sealed interface RegionMessage {
    /**
     * The header of each message.
     *
     * @param region the key of the region
     * @param term the term that the message is about; 0 for none
     * @param startedMs the Unix millisecond at which the sender's process started
     */
    record Header(int regionKey, long term, long startedMs) {}

    /** The header. */
    Header header();

    /**
     * A proposer requests votes for a leader's lease, or renews it.
     *
     * @param sentAt when it was sent, by the proposer's clock
     * @param echoedVoteAt the receiver's clock at its last vote in this term, if the proposer holds the lease; else 0.
     *     The receiver may use the leader for {@code remainingUs}, counted from there
     * @param remainingUs what is left of the lease; 0 where the proposer does not hold it
     * @param leadingForUs for how long the leader has led
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

    /**
     * Which objects go to the second in rank.
     *
     * @param second that parent; 0 for none
     * @param slice the slice of all objects, in 255ths
     * @param hotObjects objects that go there besides the slice
     */
    record Placement(long spillParent, int slice, List<Long> hotObjects) {
        /** Every object goes to the leader. */
        static final Placement NONE = new Placement(0, 0, List.of());
    }

    /**
     * The vote of a router on a request.
     *
     * @param votedAt when it was sent, by the voter's clock
     * @param requestSentAt the time in the request
     * @param votedTerm the term that the voter holds to
     * @param sentPerS the transfers a second that it sends to the leader
     * @param hotObject the object that most of these are for
     * @param hotSentPerS the transfers a second of that object
     * @param reports what it measured of the parents
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
     * What one router measured of a parent lately.
     *
     * @param failureRatio the ratio of fills that failed
     * @param freeLinkShare the part of its link that is free
     * @param hitRatio the ratio of fills that it held
     * @param samples how many responses were measured, 255 at most
     * @param silentUs for how long it is silent while responses are overdue; 0 where none is
     * @param respondedAgoUs how long ago it responded last, in steps of 20 ms up to 5 s
     */
    record ParentReport(
            long parent,
            long firstByteUs,
            double failureRatio,
            double freeLinkShare,
            double hitRatio,
            int samples,
            long silentUs,
            long respondedAgoUs) {}

    /** Responses of a leading parent are overdue: so many of them, the first for so long. */
    record Suspicion(Header header, long leader, long silentUs, int overdue) implements RegionMessage {}

    /** Loads of zones and leaders of regions; of each the later version counts. */
    record DirectoryUpdate(Header header, List<ZoneLoad> loads, List<LeadershipClaim> claims)
            implements RegionMessage {}

    /** The measured load of a zone, and its slot on its hub (-1 for none). */
    record ZoneLoad(int zone, long version, double load, int homeSlot) {}

    /** A parent leads a region with such a load; claimed so long ago at its source. */
    record LeadershipClaim(int regionKey, long term, long leader, double load, long agoUs) {}
}
