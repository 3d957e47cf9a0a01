package magpiewheel.region;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Elects the leader of a region with Paxos-like terms and leases. A proposer with the votes of a majority holds the
 * lease for its leader; a voter promises to support that leader until its promise expires, and any two majorities share
 * a voter. A promise excludes neither the same leader nor another leader of the proposer that it was given to. That
 * proposer itself waits until every router that it allowed to use the old leader has voted for the new one, or may not
 * use the old one any more.
 */
final class Election {
    /**
     * Low bits of a term, which hold the id of its proposer; the higher bits count up from the Unix milliseconds of
     * process starts.
     */
    private static final int ROUTER_BITS = 16;

    private static final long ROUTER_MASK = (1L << ROUTER_BITS) - 1;
    /** A voter that heard a lease holder within this time votes for no other proposer. */
    private static final long PROPOSER_STICKINESS_US = 2 * Lease.RENEWAL_US;
    /**
     * Silence of the proposer after which the running router with the lowest id proposes; each router after it waits
     * one renewal interval longer.
     */
    private static final long TAKEOVER_TIMEOUT_US = 2 * Lease.RENEWAL_US + 10_000;
    /** Consecutive vote requests without a majority after which a proposer steps down so that others can propose. */
    private static final int MAX_REQUEST_ROUNDS = 9;
    /**
     * A leader that is re-elected within this time after its lease expired keeps its start of leadership, so that
     * migration to it continues.
     */
    private static final long MAX_INTERRUPTION_US = 5_000_000;
    /** Terms whose clock part is more than a day ahead are ignored. */
    private static final long MAX_CLOCK_LEAD_MS = 86_400_000;

    /** Decides what this router proposes and creates its votes. */
    interface Delegate {
        /**
         * Returns the parent that should lead, or 0 if there is none. {@code currentLeader} is the current or promised
         * leader; 0 if there is none.
         */
        long chooseLeader(long now, long currentLeader);

        /** Returns the placement of objects under that leader. */
        RegionMessage.Placement placement(long now, long leader);

        /** Returns a vote that carries the measurements of this router. */
        RegionMessage.Vote createVote(
                RegionMessage.Header header, boolean granted, long votedAt, long requestSentAt, long votedTerm);
    }

    /**
     * This router and the electorate of an election.
     *
     * @param routerId the id of this router
     * @param startedMs the Unix millisecond at which the process of this router started
     * @param regionKey the key of the region
     * @param routerCount the number of routers of the region according to the settings
     */
    record Participants(int routerId, long startedMs, int regionKey, int routerCount) {}

    private final int routerId;
    private final long startedMs;
    private final long startedAt;
    private final long startupSilenceUntil;
    private final int regionKey;
    private final int routerCount;
    private final int quorum;
    private final Delegate delegate;
    private final RegionMessageSender messageSender;
    private final Map<Integer, Long> incarnations = new HashMap<>();
    private long highestTerm;
    // State as a voter.
    private long votedTerm;
    private long votedLeader;
    private long votedSince;
    private final PromiseLedger promises = new PromiseLedger();
    private long proposerHeardAt;
    private long leaseHeardAt = Long.MIN_VALUE / 2;
    private int currentProposer = -1;
    private Lease lease;
    // State as a proposer.
    private boolean isProposer;
    private long term;
    private long leader;
    private long termSince;
    private boolean holdsLease;
    private long leadingSince;
    private int requestRounds;
    private long nextRequestAt;
    private long nextAttemptAt;
    private final Map<Integer, Long> votes = new HashMap<>();
    private final Set<Integer> rejections = new HashSet<>();
    private final Map<Integer, Long> lastVoteAt = new HashMap<>();
    private final LeaseGrants grants = new LeaseGrants();
    private Collection<Integer> otherRouters = List.of();

    /**
     * Creates an election in which no other router is known to run; {@code highestTerm} is the highest term of the
     * previous election.
     */
    Election(
            long now,
            Participants participants,
            long highestTerm,
            Delegate delegate,
            RegionMessageSender messageSender) {
        this.routerId = participants.routerId();
        this.startedMs = participants.startedMs();
        this.startedAt = now;
        this.startupSilenceUntil = now + Lease.STARTUP_SILENCE_US;
        this.regionKey = participants.regionKey();
        this.routerCount = participants.routerCount();
        this.quorum = routerCount / 2 + 1;
        this.highestTerm = Math.max(highestTerm, startedMs << ROUTER_BITS);
        // The running router with the lowest id proposes when the start-up silence ends, the others after it.
        this.proposerHeardAt = startupSilenceUntil - TAKEOVER_TIMEOUT_US;
        this.delegate = delegate;
        this.messageSender = messageSender;
    }

    // ---------------------------------------------------------------- queries

    /** Returns the lease that this router may rely on now, or null. */
    Lease lease(long now) {
        return lease != null && now < lease.untilUs() ? lease : null;
    }

    /** Whether this router holds the lease of the region. */
    boolean holdsLease(long now) {
        return isProposer && holdsLease && lease(now) != null;
    }

    /** Returns the highest known term. */
    long highestTerm() {
        return highestTerm;
    }

    /** Returns the router that proposes according to what this router knows; negative if there is none. */
    int proposer() {
        return isProposer ? routerId : currentProposer;
    }

    /** Whether a message was sent by the current process of the sender and not before a restart. */
    private boolean isCurrentProcess(int sender, RegionMessage.Header header) {
        return incarnations.merge(sender, header.startedMs(), Math::max) == header.startedMs();
    }

    // ---------------------------------------------------------------- voting

    /** Decides whether to vote for a leader. A vote that is granted binds this router by a promise. */
    private boolean grantsVote(long now, int proposer, long requestedTerm, long proposedLeader) {
        if (now < startupSilenceUntil
                || requestedTerm < votedTerm
                || requestedTerm == votedTerm && proposedLeader != votedLeader) {
            return false;
        }
        if (requestedTerm > votedTerm) {
            if (currentProposer >= 0 && currentProposer != proposer && now - leaseHeardAt < PROPOSER_STICKINESS_US) {
                return false;
            }
            if (promises.forbids(now, proposedLeader, proposer)) {
                return false;
            }
            votedTerm = requestedTerm;
            votedLeader = proposedLeader;
            votedSince = now;
        }
        promises.promise(now, proposedLeader, proposer);
        if (lease != null && lease.leader() != proposedLeader) {
            lease = null;
        }
        return true;
    }

    /** Handles a vote request of another router and answers it with a vote. */
    void requestReceived(long now, int sender, RegionMessage.LeaseRequest request) {
        long requestedTerm = request.header().term();
        if (request.header().regionKey() != regionKey
                || (requestedTerm & ROUTER_MASK) != sender
                || !isCurrentProcess(sender, request.header())
                || (requestedTerm >>> ROUTER_BITS) > startedMs + MAX_CLOCK_LEAD_MS + (now - startedAt) / 1_000) {
            return;
        }
        highestTerm = Math.max(highestTerm, requestedTerm);
        if (now < startupSilenceUntil) {
            proposerHeardAt = Math.max(proposerHeardAt, now);
            return;
        }
        boolean newTerm = requestedTerm > votedTerm;
        boolean granted = grantsVote(now, sender, requestedTerm, request.leader());
        if (granted) {
            if (isProposer) {
                stepDown(now);
            }
            currentProposer = sender;
            if (newTerm || request.remainingUs() > 0) {
                proposerHeardAt = now;
            }
            if (request.remainingUs() > 0) {
                leaseHeardAt = now;
                followLeader(now, request);
            }
        }
        RegionMessage.Header header = new RegionMessage.Header(regionKey, requestedTerm, startedMs);
        messageSender.send(
                sender,
                RegionMessageCodec.encode(delegate.createVote(header, granted, now, request.sentAt(), votedTerm)));
    }

    /**
     * Follows the leader of the lease holder. The remaining time of the lease counts from this router's own vote that
     * the request echoes, because that vote was sent before the request.
     */
    private void followLeader(long now, RegionMessage.LeaseRequest request) {
        if (request.echoedVoteAt() < Math.max(startedAt, votedSince) || request.echoedVoteAt() > now) {
            return;
        }
        long until = request.echoedVoteAt()
                + (long) (Math.min(request.remainingUs(), Lease.VALIDITY_US) * Lease.CLOCK_RATE_RATIO)
                - 1;
        if (lease != null && lease.term() == votedTerm && lease.untilUs() > until) {
            return;
        }
        lease = new Lease(
                votedTerm, votedLeader, until, now - Math.max(0, request.leadingForUs()), request.placement());
    }

    // ---------------------------------------------------------------- proposing

    /**
     * Runs the actions that are due. {@code runningRouters} are the ids of the other running routers of the region, in
     * ascending order.
     */
    void tick(long now, Collection<Integer> runningRouters, boolean isolated) {
        otherRouters = runningRouters;
        if (now < startupSilenceUntil) {
            return;
        }
        long currentLeader = lease(now) != null ? lease.leader() : promises.promisedLeader(now);
        if (!isProposer) {
            if (now < takeoverAt()) {
                return;
            }
            nextAttemptAt = now + Lease.RENEWAL_US;
            long proposedLeader = isolated ? 0 : delegate.chooseLeader(now, currentLeader);
            if (proposedLeader != 0) {
                propose(now, proposedLeader);
            }
            return;
        }
        acquireLease(now);
        long proposedLeader = delegate.chooseLeader(now, leader);
        if (proposedLeader == 0) {
            stepDown(now);
        } else if (proposedLeader != leader) {
            propose(now, proposedLeader);
        } else if (now >= nextRequestAt) {
            if (!holdsLease && ++requestRounds > MAX_REQUEST_ROUNDS) {
                stepDown(now);
            } else {
                requestVotes(now);
            }
        }
    }

    private long takeoverAt() {
        long lowerIds =
                otherRouters.stream().filter(router -> router < routerId).count();
        return proposerHeardAt + TAKEOVER_TIMEOUT_US + lowerIds * Lease.RENEWAL_US;
    }

    /** Returns the time at which {@link #tick} must be called next. */
    long due(long now) {
        if (now < startupSilenceUntil) {
            return startupSilenceUntil;
        }
        if (!isProposer) {
            // A router that cannot propose, being isolated or without an eligible parent, retries at nextAttemptAt.
            return Math.max(takeoverAt(), nextAttemptAt);
        }
        long othersUsedUntil = grants.othersUsedUntil(now, leader);
        return othersUsedUntil > now ? Math.min(nextRequestAt, othersUsedUntil) : nextRequestAt;
    }

    private void propose(long now, long proposedLeader) {
        long nextTerm = ((Math.max(highestTerm, votedTerm) >>> ROUTER_BITS) + 1) << ROUTER_BITS | routerId;
        if (currentProposer == routerId || now - leaseHeardAt >= PROPOSER_STICKINESS_US) {
            currentProposer = routerId;
        }
        if (!grantsVote(now, routerId, nextTerm, proposedLeader)) {
            // A promise to another proposer is still valid.
            stepDown(now);
            return;
        }
        highestTerm = nextTerm;
        isProposer = true;
        holdsLease = false;
        term = nextTerm;
        leader = proposedLeader;
        leadingSince = leadingSince(now);
        termSince = now;
        requestRounds = 0;
        votes.clear();
        rejections.clear();
        lastVoteAt.clear();
        requestVotes(now);
    }

    /**
     * Returns since when the proposed parent leads. A gap without a lease that is shorter than
     * {@link #MAX_INTERRUPTION_US} does not count as an interruption.
     */
    private long leadingSince(long now) {
        return lease != null && lease.leader() == leader && now - lease.untilUs() < MAX_INTERRUPTION_US
                ? lease.leadingSinceUs()
                : now;
    }

    private void stepDown(long now) {
        isProposer = false;
        holdsLease = false;
        proposerHeardAt = now;
    }

    private void requestVotes(long now) {
        nextRequestAt = now + Lease.RENEWAL_US;
        if (grantsVote(now, routerId, term, leader)) {
            votes.put(routerId, now);
        }
        acquireLease(now);
        boolean leaseValid = holdsLease(now);
        for (int router : otherRouters) {
            requestVote(now, router, leaseValid);
        }
    }

    private void requestVote(long now, int router, boolean leaseValid) {
        long echoedVoteAt = leaseValid ? lastVoteAt.getOrDefault(router, 0L) : 0;
        long remainingUs = leaseValid ? lease.untilUs() - now : 0;
        if (echoedVoteAt != 0) {
            grants.grant(router, leader, lease.untilUs());
        }
        messageSender.send(
                router,
                RegionMessageCodec.encode(new RegionMessage.LeaseRequest(
                        new RegionMessage.Header(regionKey, term, startedMs),
                        leader,
                        now,
                        echoedVoteAt,
                        remainingUs,
                        Math.max(0, now - leadingSince),
                        delegate.placement(now, leader))));
    }

    /**
     * Handles a vote. Returns false if it is ignored: it is of another region, zone or term, was sent before the voter
     * restarted, or answers no request of this term.
     */
    boolean voteReceived(long now, int sender, RegionMessage.Vote vote, Set<Integer> zones) {
        if (vote.header().regionKey() != regionKey
                || !zones.contains(vote.zone())
                || !isCurrentProcess(sender, vote.header())) {
            return false;
        }
        if (!vote.granted()
                && vote.votedTerm() <= (startedMs + MAX_CLOCK_LEAD_MS + (now - startedAt) / 1_000) << ROUTER_BITS) {
            highestTerm = Math.max(highestTerm, vote.votedTerm());
        }
        if (!isProposer || vote.header().term() != term) {
            return false;
        }
        if (!vote.granted()) {
            rejected(now, sender, vote);
            return true;
        }
        if (vote.requestSentAt() < termSince || vote.requestSentAt() > now) {
            return false;
        }
        votes.merge(sender, vote.requestSentAt(), Math::max);
        boolean firstVote =
                lastVoteAt.merge(sender, vote.votedAt(), Math::max) == vote.votedAt() && !grants.contains(sender);
        // A voter for this leader no longer uses any other leader.
        grants.votedFor(sender, leader);
        boolean heldBefore = holdsLease(now);
        acquireLease(now);
        if (!heldBefore && holdsLease(now)) {
            requestVotes(now);
        } else if (heldBefore && firstVote) {
            requestVote(now, sender, true);
        }
        return true;
    }

    /**
     * Handles a rejection. If no majority is possible any more, or the voter holds to a higher term, this router steps
     * down so that another one can propose.
     */
    private void rejected(long now, int sender, RegionMessage.Vote vote) {
        rejections.add(sender);
        boolean majorityUnreachable = !holdsLease && rejections.size() > routerCount - quorum;
        if (majorityUnreachable || vote.votedTerm() > term) {
            stepDown(now);
        }
        if (majorityUnreachable) {
            // Two proposers that each promised to themselves would reject each other forever: let the promises expire.
            proposerHeardAt = now + Lease.PROMISE_US;
        }
    }

    /** Acquires or extends the lease if the votes of a majority support it. */
    private void acquireLease(long now) {
        if (votes.size() < quorum || grants.othersUsedUntil(now, leader) > now) {
            holdsLease &= lease(now) != null;
            return;
        }
        List<Long> requestTimes =
                votes.values().stream().sorted(Comparator.reverseOrder()).toList();
        long until = requestTimes.get(quorum - 1) + Lease.VALIDITY_US;
        // This router's own vote counts only while its latest vote is of this term.
        if (now >= until || votedTerm != term) {
            holdsLease &= lease(now) != null;
            return;
        }
        if (!holdsLease) {
            holdsLease = true;
            leadingSince = leadingSince(now);
        }
        requestRounds = 0;
        leaseHeardAt = now;
        lease = new Lease(term, leader, until, leadingSince, delegate.placement(now, leader));
    }
}
