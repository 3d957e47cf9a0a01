package magpiewheel.membership;

/**
 * State of one member as known here, and what this member measured of it. The classes of the membership set its fields.
 */
final class Member {
    /** Datagrams over which the minimum delay is taken; a stepped clock is trusted again after two such windows. */
    private static final int DELAY_SAMPLES = 32;

    private static final long NEVER = Long.MIN_VALUE / 4;

    final int id;
    MemberStatus status = MemberStatus.UNKNOWN;
    long incarnation;
    int zone = MemberUpdate.UNKNOWN_ZONE;
    int address;
    /** Observers that accuse it while it is a suspect. */
    int firstAccuser = MemberUpdate.NO_MEMBER;

    int secondAccuser = MemberUpdate.NO_MEMBER;
    long suspectedAt;
    /** Whether another member declared it dead; no further accusers are required then. */
    boolean declaredDead;
    /** Unix time of the proof in that declaration, in milliseconds; 0 for none. */
    long declaredUnreachableMs;
    /** When this member may next accuse it. */
    long nextAccusationAt;
    /** Backoff that applies when the last accusation is refuted. */
    long accusationBackoffUs;
    /**
     * Unix time of the last proof that no process listens at its host, in milliseconds. For a suspect: refusal of the
     * probes of its first accuser, and of no other observer yet.
     */
    long unreachableProvenMs;

    int refusedProbesInRow;
    long lastDeadProbeAt = NEVER;
    /** When it left the rings. */
    long leftRingAt = NEVER;
    /** When its current incarnation became known. */
    long incarnationKnownAt = NEVER;
    /** Unanswered probes in its current silence. */
    int unansweredProbes;
    /** When it was last probed. */
    long probedAt = NEVER;
    /** Consecutive refused probes in its current silence. */
    int probesRefused;
    /** When the last refused probe was sent. */
    long probeRefusedAt = NEVER;
    /** Whether this member began to observe it when others failed, so that it may have had no observer. */
    boolean possiblyUnobserved;
    /** Incarnation in its latest datagram. */
    long senderIncarnation;
    /** Send time of its latest datagram, by its own clock. */
    long lastSentAt = NEVER;
    /** Estimated send time of its latest datagram, by this member's clock. */
    long lastAliveAt = NEVER;
    /** Heartbeat interval that its latest datagram states. */
    long heartbeatUs;
    /** Since when its heartbeats are expected here; {@link #NEVER} if they are not. */
    long observedSince = NEVER;
    /** Consecutive messages whose digest differed from the local one. */
    int digestMismatches;
    /** When it was last sent a digest request. */
    long syncRequestedAt = NEVER;
    /** When it was last sent a reply. */
    long lastReplyAt = NEVER;
    /** Until when it is a temporary peer. */
    long temporaryPeerUntil = NEVER;
    /** Rounds in which an update about it is still to be sent. */
    int sendsRemaining;
    /** Whether an update about it is queued. */
    boolean updateQueued;

    private long minDelay = Long.MAX_VALUE;
    private long previousMinDelay = Long.MAX_VALUE;
    private int delaySamples;

    Member(int id) {
        this.id = id;
    }

    boolean isObserved() {
        return observedSince != NEVER;
    }

    void observe(long now) {
        observedSince = isObserved() ? observedSince : now;
    }

    void stopObserving() {
        observedSince = NEVER;
        resetProbes();
    }

    /** Resets what is known from probes, as its silence ended. */
    void resetProbes() {
        unansweredProbes = 0;
        probesRefused = 0;
        possiblyUnobserved = false;
    }

    /** Whether it is in the rings: neither dead nor left. */
    boolean isInRing() {
        return status != MemberStatus.DEAD && status != MemberStatus.LEFT;
    }

    /** Whether it is believed to run: its incarnation is known, and it neither failed nor left. */
    boolean isRunning() {
        return incarnation > 0 && isInRing();
    }

    /** Whether its last datagram was sent at most {@code withinUs} ago; a late one counts from when it was sent. */
    boolean isFresh(long now, long withinUs) {
        return now - lastAliveAt <= withinUs;
    }

    /** Records a datagram that it sent. Returns whether that is newer than all earlier ones. */
    boolean heartbeatReceived(long now, long incarnationOfSender, long sentAt) {
        if (incarnationOfSender < senderIncarnation) {
            return false;
        }
        if (sentAt <= lastSentAt && incarnationOfSender == senderIncarnation) {
            return false;
        }
        if (sentAt <= lastSentAt) {
            // The process restarted with its clock set back: delays measured against the old clock no longer count.
            minDelay = Long.MAX_VALUE;
            previousMinDelay = Long.MAX_VALUE;
            delaySamples = 0;
        }
        senderIncarnation = incarnationOfSender;
        lastSentAt = sentAt;
        if (++delaySamples > DELAY_SAMPLES) {
            delaySamples = 1;
            previousMinDelay = minDelay;
            minDelay = Long.MAX_VALUE;
        }
        minDelay = Math.min(minDelay, now - sentAt);
        lastAliveAt = Math.max(lastAliveAt, Math.min(now, sentAt + Math.min(minDelay, previousMinDelay)));
        return true;
    }

    boolean isAccusedBy(int accuser) {
        return firstAccuser == accuser || secondAccuser == accuser;
    }

    int accuserCount() {
        return (firstAccuser == MemberUpdate.NO_MEMBER ? 0 : 1) + (secondAccuser == MemberUpdate.NO_MEMBER ? 0 : 1);
    }

    /** Adds an accuser, of which there are at most two. Returns whether it was added. */
    boolean addAccuser(int accuser) {
        if (accuser == MemberUpdate.NO_MEMBER || accuser == id || isAccusedBy(accuser) || accuserCount() == 2) {
            return false;
        }
        if (firstAccuser == MemberUpdate.NO_MEMBER) {
            firstAccuser = accuser;
        } else {
            secondAccuser = accuser;
        }
        return true;
    }

    /** Records that its host refused probes of an accuser, which becomes the first accuser. */
    void addRefusedAccuser(int accuser, long provenMs) {
        if (firstAccuser != accuser) {
            secondAccuser = firstAccuser;
            firstAccuser = accuser;
        }
        unreachableProvenMs = provenMs;
    }

    /** Clears all accusations and proofs. */
    void clearSuspicion() {
        firstAccuser = MemberUpdate.NO_MEMBER;
        secondAccuser = MemberUpdate.NO_MEMBER;
        suspectedAt = 0;
        declaredDead = false;
        declaredUnreachableMs = 0;
        unreachableProvenMs = 0;
        refusedProbesInRow = 0;
    }

    MemberUpdate toUpdate(long now) {
        boolean suspect = status == MemberStatus.SUSPECT;
        return new MemberUpdate(
                id,
                status,
                incarnation,
                zone,
                address,
                suspect ? firstAccuser : MemberUpdate.NO_MEMBER,
                suspect ? secondAccuser : MemberUpdate.NO_MEMBER,
                suspect ? Math.max(0, now - suspectedAt) : 0,
                suspect || status == MemberStatus.DEAD || status == MemberStatus.LEFT ? unreachableProvenMs : 0);
    }

    /** Returns its part of the digest of the table: suspects count as alive, unknown members as 0. */
    int digest() {
        if (incarnation == 0) {
            return 0;
        }
        int kind = status == MemberStatus.SUSPECT ? MemberStatus.ALIVE.ordinal() : status.ordinal();
        return (int) ObserverRings.mix(incarnation * MemberStatus.values().length + kind, id);
    }
}
