package magpiewheel.membership;

/** What is known of one member, and what was measured of it here. Fields are set by the parts of the membership. */
final class Member {
    /** Datagrams over which the least delay is taken: after two of these a clock that was stepped is trusted again. */
    private static final int DELAY_SAMPLES = 32;

    private static final long NEVER = Long.MIN_VALUE / 4;

    final int id;
    MemberStatus status = MemberStatus.UNKNOWN;
    long incarnation;
    int zone = MemberUpdate.UNKNOWN_ZONE;
    int address;
    /** Accusers of a suspect. */
    int firstAccuser = MemberUpdate.NO_MEMBER;

    int secondAccuser = MemberUpdate.NO_MEMBER;
    long suspectedAt;
    /** Another member declared it dead, whoever accuses it. */
    boolean declaredDead;
    /** The Unix millisecond of the proof in that declaration; 0 for none. */
    long declaredUnreachableMs;
    /** When this member may accuse it again, and how long the next backoff is. */
    long nextAccusationAt;

    long accusationBackoffUs;
    /**
     * When its host last proved that nobody listens there, Unix milliseconds; of a suspect, that its first accuser was
     * refused, and nobody else yet.
     */
    long unreachableProvenMs;

    int refusedProbesInRow;
    long lastDeadProbeAt = NEVER;
    /** Since when it is out of the ring, and since when its incarnation is known. */
    long leftRingAt = NEVER;

    long incarnationKnownAt = NEVER;
    /**
     * While it is silent here: probes without an answer, the last of them, refusals in a row and the last probe
     * refused.
     */
    int unansweredProbes;

    long probedAt = NEVER;
    int probesRefused;
    long probeRefusedAt = NEVER;
    /** It came to be observed when others failed: perhaps nobody observed it. */
    boolean possiblyUnobserved;
    /** What its own datagrams said. */
    long senderIncarnation;

    long lastSentAt = NEVER;
    long lastAliveAt = NEVER;
    long heartbeatUs;
    /** Since when its heartbeats are expected here; {@link #NEVER} where they are not. */
    long observedSince = NEVER;
    /**
     * Messages in a row whose digest differed from the own; when it was last sent a request and a reply, and until when
     * it is a temporary peer.
     */
    int digestMismatches;

    long syncRequestedAt = NEVER;
    long lastReplyAt = NEVER;
    long temporaryPeerUntil = NEVER;
    /** Rounds in which an update of it is still to be sent. */
    int sendsRemaining;

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

    /** Forgets the probes of the silence that ended. */
    void resetProbes() {
        unansweredProbes = 0;
        probesRefused = 0;
        possiblyUnobserved = false;
    }

    /** Whether it is in the rings: neither dead nor left. */
    boolean isInRing() {
        return status != MemberStatus.DEAD && status != MemberStatus.LEFT;
    }

    /** Whether it runs as far as is known: some incarnation is known, and it neither failed nor left. */
    boolean isRunning() {
        return incarnation > 0 && isInRing();
    }

    /** Whether its last datagram was sent within this time; a late one counts from when it was sent. */
    boolean isFresh(long now, long withinUs) {
        return now - lastAliveAt <= withinUs;
    }

    /** A datagram of its own came; returns whether it is newer than all before. */
    boolean heartbeatReceived(long now, long incarnationOfSender, long sentAt) {
        if (incarnationOfSender < senderIncarnation) {
            return false;
        }
        if (sentAt <= lastSentAt && incarnationOfSender == senderIncarnation) {
            return false;
        }
        if (sentAt <= lastSentAt) {
            // A process that restarted with its clock set back: the delays of the other clock no longer count.
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

    /** Adds an accuser, two at most; returns whether it is a new one. */
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

    /** Its host refused a probe of one accuser, which becomes the first. */
    void addRefusedAccuser(int accuser, long provenMs) {
        if (firstAccuser != accuser) {
            secondAccuser = firstAccuser;
            firstAccuser = accuser;
        }
        unreachableProvenMs = provenMs;
    }

    /** Forgets all accusations and proofs. */
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

    /** What it adds to a digest of the table: suspects count as alive, and unknown members as nothing. */
    int digest() {
        if (incarnation == 0) {
            return 0;
        }
        int kind = status == MemberStatus.SUSPECT ? MemberStatus.ALIVE.ordinal() : status.ordinal();
        return (int) ObserverRings.mix(incarnation * MemberStatus.values().length + kind, id);
    }
}
