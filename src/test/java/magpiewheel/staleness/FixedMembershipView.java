package magpiewheel.staleness;

import java.util.List;
import magpiewheel.membership.MemberStatus;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;

/** The membership view of a router with fixed running peers in its zone. */
record FixedMembershipView(List<Integer> peers) implements MembershipView {
    FixedMembershipView() {
        this(List.of());
    }

    @Override
    public MemberStatus status(int router) {
        return peers.contains(router) ? MemberStatus.ALIVE : MemberStatus.LEFT;
    }

    @Override
    public PartitionVerdict verdict() {
        return PartitionVerdict.COMPLETE;
    }

    @Override
    public int zone(int router) {
        return 0;
    }

    @Override
    public List<Integer> runningMembers() {
        return peers;
    }

    @Override
    public List<Integer> runningMembersIn(int zone) {
        return peers;
    }

    @Override
    public List<Integer> servingAddresses(int zone) {
        return List.of();
    }

    @Override
    public double quotaDivisor(long now) {
        return 1 + peers.size();
    }

    @Override
    public double quotaDivisorIn(long now, int zone) {
        return 1 + peers.size();
    }

    @Override
    public int digest() {
        return 0;
    }
}
