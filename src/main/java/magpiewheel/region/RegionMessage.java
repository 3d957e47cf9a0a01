package magpiewheel.region;

import java.util.List;

/** The messages of the region protocol between routers. */
sealed interface RegionMessage {
    /**
     * The header of each message.
     *
     * @param regionKey the key of the region
     * @param term the term that the message refers to; 0 if none
     * @param startedMs the Unix millisecond at which the process of the sender started
     */
    record Header(int regionKey, long term, long startedMs) {}

    /** Returns the header. */
    Header header();

    /**
     * A proposer's request for votes for a leader's lease, or for its renewal.
     *
     * @param sentAt when it was sent, by the proposer's clock
     * @param echoedVoteAt the time of the receiver's last vote in this term by the receiver's clock, if the proposer
     *     holds the lease; otherwise 0. The receiver may use the leader for {@code remainingUs} from that time
     * @param remainingUs the remaining time of the lease; 0 if the proposer does not hold it
     * @param leadingForUs how long the leader has led
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
     * Which objects are placed at the spill parent, the second in rank.
     *
     * @param spillParent the spill parent; 0 if there is none
     * @param slice the slice of all objects that is placed there, in 255ths
     * @param hotObjects objects that are placed there in addition to the slice
     */
    record Placement(long spillParent, int slice, List<Long> hotObjects) {
        /** All objects are placed at the leader. */
        static final Placement NONE = new Placement(0, 0, List.of());
    }

    /**
     * A router's answer to a vote request.
     *
     * @param votedAt when it was sent, by the voter's clock
     * @param requestSentAt the time of sending from the request
     * @param votedTerm the term that the voter last voted in
     * @param sentPerS the transfers per second that the voter sends to the leader
     * @param hotObject the object that most of these transfers are for
     * @param hotSentPerS the transfers per second for that object
     * @param reports the voter's measurements of the parents
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
     * A router's recent measurements of a parent.
     *
     * @param failureRatio the ratio of fills that failed
     * @param freeLinkShare the share of its link that is free
     * @param hitRatio the ratio of fills that hit at the parent
     * @param samples the number of measured responses, at most 255
     * @param silentUs how long it has been silent while responses are overdue; 0 if none is overdue
     * @param respondedAgoUs how long ago it last responded, sent in steps of 20 ms up to 5.1 s
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

    /**
     * Responses of a leading parent are overdue.
     *
     * @param silentUs how long the first of them has been outstanding
     * @param overdue the number of overdue responses
     */
    record Suspicion(Header header, long leader, long silentUs, int overdue) implements RegionMessage {}

    /** Loads of zones and leaders of regions; the later version of each wins. */
    record DirectoryUpdate(Header header, List<ZoneLoad> loads, List<LeadershipClaim> claims)
            implements RegionMessage {}

    /** The measured load of a zone, and its slot on its hub (-1 for none). */
    record ZoneLoad(int zone, long version, double load, int homeSlot) {}

    /**
     * The claim that a parent leads a region.
     *
     * @param load the load of the region
     * @param agoUs how long ago the claim was made at its source
     */
    record LeadershipClaim(int regionKey, long term, long leader, double load, long agoUs) {}
}
