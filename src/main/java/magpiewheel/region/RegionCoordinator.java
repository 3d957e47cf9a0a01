package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;

/**
 * One front's view of its region: tells where a fill goes, or nothing, and then the design's own way holds. It is told
 * what happens, is called when {@link #due} says, and never waits nor makes anyone wait.
 */
public final class RegionCoordinator {
    /** How often fronts tell each other loads and claims, and how many they tell each time. */
    private static final long WORDS_US = 500_000;

    private static final int WORDS_TO = 2;
    /** Fronts that are told of a doubt besides the proposer. */
    private static final int DOUBT_TO = 2;
    /** The least part of misses that the origin is taken to see. */
    private static final double LEAST_LACKS = 0.1;

    private final RegionConfig setup;
    private final MembershipView view;
    private final RegionMessageSender out;
    private final RegionDirectory known;
    private final Handover handover;
    private final FillAdmission pace = new FillAdmission();
    private final Map<Long, Parent> parents = new LinkedHashMap<>();
    private final Map<Long, ParentObservations> seen = new HashMap<>();
    private final long[] answers = new long[RouteReason.values().length];
    private RegionAssignment regions;
    private Region region;
    private Election election;
    private ParentRanking candidates;
    private HangDetector evidence = new HangDetector();
    private LoadSpill spill = new LoadSpill();
    private long termFloor;
    private long wordsAt;
    private long doubtAt = Long.MAX_VALUE;
    private int turn;
    private int opinionTurn;

    /** Told at the start; parents come with {@link #parents}. */
    public RegionCoordinator(long now, RegionConfig setup, MembershipView view, RegionMessageSender out) {
        this.setup = setup;
        this.view = view;
        this.out = out;
        this.known = new RegionDirectory(setup.loads());
        this.handover = new Handover(setup.cold());
        this.wordsAt = now + WORDS_US;
        this.turn = setup.me();
        reshape(now);
    }

    // ---------------------------------------------------------------- what happens

    /** The parents of the list as it stands; who is no more in it is gone from this moment. */
    public void parents(long now, List<Parent> list) {
        for (Parent parent : list) {
            Parent old = parents.get(parent.id());
            if (old != null && old.startedUs() != parent.startedUs()) {
                seen.remove(parent.id());
                if (candidates != null) {
                    candidates.forget(parent.id());
                }
            }
        }
        parents.clear();
        list.forEach(parent -> parents.put(parent.id(), parent));
        seen.keySet().retainAll(parents.keySet());
        handover.keepOnly(parents.keySet());
        reshape(now);
        act(now);
    }

    /** The measured load of the own branch; told to others by the branch's first front. */
    public void load(long now, double load) {
        if (firstInBranch() && known.measured(now, setup.zone(), load)) {
            reshape(now);
        }
    }

    private boolean firstInBranch() {
        return view.runningMembersIn(setup.zone()).stream().allMatch(front -> front > setup.me());
    }

    /** A fill goes to a parent, by whatever way: its work, and what it takes of the link. */
    public void began(long now, long parent, long object, double work, double amount) {
        handover.sent(now, parent, work);
        of(parent).sent(now, object, amount);
    }

    /** A parent answered, or a fill from it failed; {@code held} if it had the object. */
    public void answered(long now, long parent, long object, long firstByteUs, boolean ok, boolean held) {
        of(parent).answered(now, firstByteUs, ok, held);
        pace.ended(object, ok);
        evidence.answered(now, parent);
    }

    /** An answer that was asked for at a time is overdue. */
    public void overdue(long now, long parent, long askedAt) {
        ParentObservations its = of(parent);
        its.overdue(now, askedAt);
        if (its.doubts(now) > 0) {
            doubt(now);
        }
    }

    /** The part of a parent's link that is free, as this front has it. */
    public void room(long parent, double free) {
        of(parent).room(free);
    }

    private ParentObservations of(long parent) {
        return seen.computeIfAbsent(parent, id -> new ParentObservations());
    }

    // ---------------------------------------------------------------- where a fill goes

    /** The parent to fill an object from, or null: then the design's own way holds. */
    public Leader leaderFor(long now, int zone, long object, double work) {
        Lease lease = election == null ? null : election.lease(now);
        boolean second = lease != null && LoadSpill.atSecond(lease.placing(), object);
        Parent parent =
                lease == null ? null : parents.get(second ? lease.placing().second() : lease.leader());
        RouteReason why = why(now, zone, object, work, lease, parent, second);
        answers[why.ordinal()]++;
        return why == RouteReason.LED || why == RouteReason.SPILLED
                ? new Leader(parent.id(), lease.term(), second)
                : null;
    }

    private RouteReason why(long now, int zone, long object, double work, Lease lease, Parent parent, boolean second) {
        RouteReason standing = standing(now, zone, lease, parent);
        if (standing != RouteReason.LED) {
            return standing;
        }
        if (!Handover.moved(now - lease.ledSinceUs(), lease.leader(), object)) {
            return RouteReason.NOT_MOVED;
        }
        if (!handover.room(now, parent, view.quotaDivisor(now), work)) {
            return RouteReason.COLD;
        }
        return second ? RouteReason.SPILLED : RouteReason.LED;
    }

    private RouteReason standing(long now, int zone, Lease lease, Parent parent) {
        if (region == null || !region.branches().contains(zone)) {
            return RouteReason.NO_REGION;
        }
        if (view.verdict() == PartitionVerdict.ISOLATED) {
            return RouteReason.CUT_OFF;
        }
        if (lease == null) {
            return RouteReason.NO_LEASE;
        }
        if (parent == null || parent.draining()) {
            return RouteReason.GONE;
        }
        if (of(parent.id()).doubts(now) > 0) {
            return RouteReason.DOUBTED;
        }
        return RouteReason.LED;
    }

    /** Whether a parent that may be cold has room for more of this front's work, for fills by the old way as well. */
    public boolean room(long now, long parent, double work) {
        Parent found = parents.get(parent);
        return found != null && handover.room(now, found, view.quotaDivisor(now), work);
    }

    /**
     * Whether a miss may go up now, at the pace that the hub's parents and the origin bear; else it is refused with a
     * pause. The origin's part of it is what the leader has been lacking. A cold leader alone holds nothing back: what
     * it can't take goes on by the old way, while another parent is warm.
     */
    public boolean letsUp(long now, long object, double work) {
        Lease lease = election == null ? null : election.lease(now);
        ParentObservations its = lease == null ? null : seen.get(lease.leader());
        double perS = setup.originPerS() / Math.max(LEAST_LACKS, its == null ? 1 : its.lacks(now));
        double parentsBear = parents.values().stream()
                .filter(p -> region != null && p.hub() == region.hub() && !p.draining())
                .mapToDouble(p -> handover.budget(now, p))
                .sum();
        if (parentsBear > 0) {
            perS = Math.min(perS, parentsBear * 1e6 / setup.cold().tipAfterUs());
        }
        return pace.lets(now, object, work, perS / Math.max(1, view.quotaDivisor(now)));
    }

    /** A miss that was let up is over without a parent's answer; {@code filled} if the object came all the same. */
    public void ended(long object, boolean filled) {
        pace.ended(object, filled);
    }

    /** Misses that were held back so far. */
    public long held() {
        return pace.held();
    }

    /** How the region stands for this front, whatever the object: {@link RouteReason#LED} or what is against it. */
    public RouteReason verdict(long now) {
        Lease lease = election == null ? null : election.lease(now);
        return standing(now, setup.zone(), lease, lease == null ? null : parents.get(lease.leader()));
    }

    /** How often each answer was given. */
    public long answers(RouteReason why) {
        return answers[why.ordinal()];
    }

    /** The region of this front's branch, or null. */
    public Region region() {
        return region;
    }

    /** All regions as this front has them. */
    public RegionAssignment regions() {
        return regions;
    }

    /** Who leads this front's region, or null. */
    public Leader leader(long now) {
        Lease lease = election == null ? null : election.lease(now);
        return lease == null ? null : new Leader(lease.leader(), lease.term(), false);
    }

    /** Whether this front holds its region's lease. */
    public boolean holds(long now) {
        return election != null && election.holds(now);
    }

    // ---------------------------------------------------------------- shape

    private void reshape(long now) {
        regions = RegionAssignment.of(
                new RegionTopology(setup.hubByBranch(), known.loads(), known.homes(), List.copyOf(parents.values())));
        Region before = region;
        region = regions.of(setup.zone());
        if (region == null || before == null || before.key() != region.key()) {
            termFloor = election == null ? termFloor : Math.max(termFloor, election.seenTerm());
            election = null;
            if (region != null) {
                // As after a restart: what this front promised in a region of this name before may stand.
                candidates = new ParentRanking(region.key());
                evidence = new HangDetector();
                spill = new LoadSpill();
                election = new Election(
                        now,
                        setup.me(),
                        setup.startedMs(),
                        region.key(),
                        region.fronts(setup.frontsByBranch()),
                        termFloor,
                        new Voice(),
                        out);
            }
        }
    }

    /** Parents that may lead the region. */
    private List<Long> fit(long now, long current) {
        List<Long> fit = new ArrayList<>();
        for (Parent parent : parents.values()) {
            double most = RegionAssignment.FILL * parent.carries();
            boolean leads = parent.id() == current;
            // Two regions that took one parent at once: the one with the lower key keeps it.
            double elsewhere = known.claimed(now, parent.id(), region.key(), leads);
            if (parent.hub() == region.hub()
                    && !parent.draining()
                    && region.load() <= most
                    && (elsewhere == 0 || elsewhere + region.load() <= most)
                    && !evidence.benched(now, parent.id())) {
                fit.add(parent.id());
            }
        }
        return fit;
    }

    /** What this front says and wants in elections. */
    private final class Voice implements Election.Mind {
        @Override
        public long choose(long now, long current) {
            tellOwn(now);
            return candidates.choose(now, current, fit(now, current));
        }

        @Override
        public RegionMessage.Placing placing(long now, long leader) {
            Parent first = parents.get(leader);
            if (first == null) {
                return RegionMessage.Placing.NONE;
            }
            List<Long> others = new ArrayList<>(fit(now, leader));
            others.remove(leader);
            Lease lease = election.lease(now);
            long second = lease != null && others.contains(lease.placing().second())
                    ? lease.placing().second()
                    : others.isEmpty() ? 0 : candidates.ranked(now, others).get(0);
            Parent next = parents.get(second);
            double spare = next == null ? 0 : (candidates.room(now, second) - (1 - LoadSpill.AIM)) * next.carries();
            return spill.decide(now, first, next, spare);
        }

        @Override
        public RegionMessage.Vote vote(RegionMessage.Head head, boolean yes, long clock, long echo, long holdsTo) {
            Lease lease = election.lease(clock);
            ParentObservations its = lease == null ? null : seen.get(lease.leader());
            return new RegionMessage.Vote(
                    head,
                    yes,
                    setup.zone(),
                    clock,
                    echo,
                    holdsTo,
                    its == null ? 0 : its.sentPerS(clock),
                    its == null ? 0 : its.hot(),
                    its == null ? 0 : its.hotPerS(),
                    opinions(clock));
        }
    }

    private List<RegionMessage.Opinion> opinions(long now) {
        List<Long> all = parents.values().stream()
                .filter(p -> p.hub() == region.hub() && seen.containsKey(p.id()))
                .map(Parent::id)
                .toList();
        List<RegionMessage.Opinion> told = new ArrayList<>();
        for (int i = 0; i < Math.min(all.size(), RegionMessageCodec.MOST_OPINIONS); i++) {
            long parent = all.get(opinionTurn++ % all.size());
            told.add(seen.get(parent).opinion(now, parent));
        }
        return told;
    }

    private void tellOwn(long now) {
        seen.forEach((parent, its) -> candidates.told(now, setup.me(), its.opinion(now, parent)));
        Lease lease = election.lease(now);
        ParentObservations its = lease == null ? null : seen.get(lease.leader());
        if (its != null) {
            spill.told(now, setup.me(), its.sentPerS(now), its.hot(), its.hotPerS());
        }
    }

    // ---------------------------------------------------------------- doubts

    /** Tells of overdue answers of those that lead, at once and again while they are owed. */
    private void doubt(long now) {
        doubtAt = Long.MAX_VALUE;
        Lease lease = election == null ? null : election.lease(now);
        if (lease == null) {
            return;
        }
        Set<Long> leading =
                new HashSet<>(List.of(lease.leader(), lease.placing().second()));
        for (long parent : leading) {
            ParentObservations its = seen.get(parent);
            if (its == null || its.doubts(now) == 0) {
                continue;
            }
            doubtAt = now + Lease.RENEW_US;
            RegionMessage.Doubt word =
                    new RegionMessage.Doubt(head(lease.term()), parent, its.silentUs(now), its.doubts(now));
            Set<Integer> to = new HashSet<>(fronts().subList(0, Math.min(DOUBT_TO, fronts().size())));
            if (election.proposer() >= 0) {
                to.add(election.proposer());
            }
            to.remove(setup.me());
            to.forEach(front -> out.send(front, RegionMessageCodec.encode(word)));
            doubted(now, setup.me(), word);
        }
    }

    private void doubted(long now, int front, RegionMessage.Doubt doubt) {
        if (evidence.doubted(now, front, doubt.leader(), doubt.silentUs(), doubt.overdue())) {
            candidates.forget(doubt.leader());
            act(now);
        }
    }

    // ---------------------------------------------------------------- messages and time

    /** Whether a message is one of the regions'. */
    public static boolean isOurs(byte[] message) {
        return message.length > 0 && message[0] == RegionMessageCodec.MARK;
    }

    /** A message of another front. */
    public void heard(long now, int sender, byte[] bytes) {
        RegionMessage message = RegionMessageCodec.decode(bytes);
        if (message == null || sender == setup.me()) {
            return;
        }
        if (message instanceof RegionMessage.Words words) {
            if (known.heard(now, words)) {
                reshape(now);
            }
            return;
        }
        if (region == null || message.head().region() != region.key()) {
            return;
        }
        if (message instanceof RegionMessage.Ask ask) {
            election.asked(now, sender, ask);
        } else if (message instanceof RegionMessage.Vote vote) {
            voted(now, sender, vote);
        } else if (message instanceof RegionMessage.Doubt doubt) {
            doubted(now, sender, doubt);
        }
    }

    private void voted(long now, int sender, RegionMessage.Vote vote) {
        if (!election.voted(now, sender, vote, Set.copyOf(region.branches()))) {
            return;
        }
        for (RegionMessage.Opinion opinion : vote.opinions()) {
            // The vote came after the ask that it echoes: so did its answers, so long before it.
            evidence.answered(vote.echo() - opinion.answeredUs(), opinion.parent());
            candidates.told(now, sender, opinion);
            if (opinion.silentUs() > 0 && !evidence.benched(now, opinion.parent())) {
                doubted(now, sender, new RegionMessage.Doubt(vote.head(), opinion.parent(), opinion.silentUs(), 1));
            }
        }
        if (vote.yes()) {
            spill.told(now, sender, vote.sent(), vote.hot(), vote.hotSent());
        }
    }

    /** When {@link #tick} wants to be called; it may change with every call. */
    public long due(long now) {
        long next = Math.min(wordsAt, doubtAt);
        return election == null ? next : Math.min(next, election.due(now));
    }

    /** Does what is due. */
    public void tick(long now) {
        if (now >= wordsAt) {
            wordsAt = now + WORDS_US;
            tell(now);
        }
        if (now >= doubtAt) {
            doubt(now);
        }
        act(now);
    }

    private void act(long now) {
        if (election != null) {
            election.tick(now, fronts(), view.verdict() == PartitionVerdict.ISOLATED);
        }
    }

    private void tell(long now) {
        Lease lease = election == null ? null : election.lease(now);
        if (lease != null && election.holds(now)) {
            known.claim(now, new RegionMessage.Claim(region.key(), lease.term(), lease.leader(), region.load(), 0));
        }
        // A place is told once it was lived in for a lease: places that change at a start settle first.
        if (lease != null && firstInBranch() && known.placed(setup.zone(), regions.place(setup.zone()))) {
            reshape(now);
        }
        List<Integer> all = view.runningMembers();
        RegionMessage.Words words = known.words(now, head(0));
        if (words.loads().isEmpty() && words.claims().isEmpty()) {
            return;
        }
        for (int i = 0; i < Math.min(WORDS_TO, all.size()); i++) {
            turn = (int) Math.floorMod(DeterministicHash.of(turn, now), (long) Integer.MAX_VALUE);
            out.send(all.get(turn % all.size()), RegionMessageCodec.encode(words));
        }
    }

    private RegionMessage.Head head(long term) {
        return new RegionMessage.Head(region == null ? 0 : region.key(), term, setup.startedMs());
    }

    /** The other fronts of the region that are heard, by number. */
    private List<Integer> fronts() {
        return region.branches().stream()
                .flatMap(branch -> view.runningMembersIn(branch).stream())
                .filter(front -> front != setup.me())
                .distinct()
                .sorted()
                .toList();
    }
}
