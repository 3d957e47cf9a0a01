package magpiewheel.region;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The election of a region's leader: Paxos-like terms with leases. A proposer that a majority votes for holds the lease
 * for its leader; a voter promises to support that leader until its promise expires, and any two majorities share a
 * voter. A promise binds against all but the same leader and the proposer that it was given to, which itself waits
 * until every router that it let use the old leader has voted for the new one, or can't use it any more.
 */
final class Election {
    private static final int ROUTER_BITS = 16;
    private static final long ROUTER_MASK = (1L << ROUTER_BITS) - 1;
    /** A voter that heard a lease holder within this votes for no other proposer. */
    private static final long PROPOSER_STICKINESS_US = 2 * Lease.RENEWAL_US;
    /**
     * Silence of the proposer after which the first router in line proposes; each one behind it waits a renewal more.
     */
    private static final long TAKEOVER_TIMEOUT_US = 2 * Lease.RENEWAL_US + 10_000;
    /** Requests in a row without a majority after which a proposer lets others propose. */
    private static final int MAX_REQUEST_ROUNDS = 9;
    /** A leader that is elected again within this continues where it was. */
    private static final long MAX_INTERRUPTION_US = 5_000_000;
    /** Terms of a clock that is farther ahead than a day are ignored. */
    private static final long MAX_CLOCK_LEAD_MS = 86_400_000;

    /** What this router wants when it proposes, and reports when it votes. */
    interface Delegate {
        /** The parent that should lead, given the current or promised leader (0 for none); 0 for none. */
        long chooseLeader(long now, long currentLeader);

        /** The placement of objects under that leader. */
        RegionMessage.Placement placement(long now, long leader);

        /** A vote with what this router measured. */
        RegionMessage.Vote createVote(
                RegionMessage.Header header, boolean granted, long votedAt, long requestSentAt, long votedTerm);
    }

    /**
     * Who takes part in an election.
     *
     * @param routerId this router
     * @param startedMs the Unix millisecond at which its process started
     * @param regionKey the key of the region
     * @param routerCount how many routers the settings name in it
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
    // As a voter.
    private long votedTerm;
    private long votedLeader;
    private long votedSince;
    private final PromiseLedger promises = new PromiseLedger();
    private long proposerHeardAt;
    private long leaseHeardAt = Long.MIN_VALUE / 2;
    private int currentProposer = -1;
    private Lease lease;
    // As a proposer.
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

    /** An election in which only this router is known; {@code highestTerm} is the highest term of the one before. */
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
        // The first in line proposes as soon as it may, the others after it.
        this.proposerHeardAt = startupSilenceUntil - TAKEOVER_TIMEOUT_US;
        this.delegate = delegate;
        this.messageSender = messageSender;
    }

    // ---------------------------------------------------------------- what others ask

    /** The lease that this router may rely on now, or null. */
    Lease lease(long now) {
        return lease != null && now < lease.untilUs() ? lease : null;
    }

    /** Whether this router holds the lease for the region. */
    boolean holdsLease(long now) {
        return isProposer && holdsLease && lease(now) != null;
    }

    /** The highest known term. */
    long highestTerm() {
        return highestTerm;
    }

    /** The router that proposes, as far as is known; negative for none. */
    int proposer() {
        return isProposer ? routerId : currentProposer;
    }

    /** Whether a message comes from the sender's current process, and not from before a restart. */
    private boolean isCurrentProcess(int sender, RegionMessage.Header header) {
        return incarnations.merge(sender, header.startedMs(), Math::max) == header.startedMs();
    }

    // ---------------------------------------------------------------- voting

    /** Whether this router votes for a leader; if it does, it is bound by that. */
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

    /** Another router requests a vote. */
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

    /** The rest of the holder's lease counts from the vote of this router that it echoes: that was earlier. */
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

    /** Does what is due; {@code runningRouters} are the other routers of the region that run, by number. */
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

    /** When {@link #tick} wants to be called. */
    long due(long now) {
        if (now < startupSilenceUntil) {
            return startupSilenceUntil;
        }
        if (!isProposer) {
            // A router that can propose nobody, isolated or without an eligible parent, tries again later.
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
            // A promise to another proposer still stands.
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

    /** Since when the proposed parent leads: a short while without a lease is no interruption. */
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
     * A vote came; returns false where it does not count: of another term, from before a restart, or from another
     * region.
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
        // A vote for this leader says that the voter uses no other.
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

    /** A router rejected the request: without a majority left, or with a higher term, another is to propose. */
    private void rejected(long now, int sender, RegionMessage.Vote vote) {
        rejections.add(sender);
        boolean majorityUnreachable = !holdsLease && rejections.size() > routerCount - quorum;
        if (majorityUnreachable || vote.votedTerm() > term) {
            stepDown(now);
        }
        if (majorityUnreachable) {
            // Two that each promised to themselves would reject each other for good: let the promises expire.
            proposerHeardAt = now + Lease.PROMISE_US;
        }
    }

    /** Acquires the lease where the votes of a majority support it. */
    private void acquireLease(long now) {
        if (votes.size() < quorum || grants.othersUsedUntil(now, leader) > now) {
            holdsLease &= lease(now) != null;
            return;
        }
        List<Long> requestTimes =
                votes.values().stream().sorted(Comparator.reverseOrder()).toList();
        long until = requestTimes.get(quorum - 1) + Lease.VALIDITY_US;
        // This router's own vote counts only while it is of this term.
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
