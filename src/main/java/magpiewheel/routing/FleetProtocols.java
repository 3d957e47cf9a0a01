package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import magpiewheel.membership.DatagramSender;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.membership.MembershipProtocol;
import magpiewheel.membership.MembershipView;
import magpiewheel.region.RegionConfig;
import magpiewheel.region.RegionCoordinator;

/**
 * Drives as one what speaks to the other fronts: the membership, and the regions where they are on. Each message goes
 * to whom its first byte names, and one timer wakes all of them. Nothing is decided here.
 */
final class FleetProtocols {
    /**
     * One who speaks to other fronts besides the membership: which messages are its own, and what it wants of its
     * driver.
     */
    record PeerProtocol(Predicate<byte[]> accepts, MessageHandler handler, LongUnaryOperator due, LongConsumer tick) {}

    /** Who hears messages of other fronts. */
    interface MessageHandler {
        /** A message from the address of a front. */
        void handle(long now, int sender, byte[] message);
    }

    /**
     * us; from one call of all but the membership to the next: one may want more than it can have yet (to propose while
     * nobody hears it), and would want it again at once.
     */
    private static final long MIN_INTERVAL_US = 5_000;

    private final MembershipProtocol membership;
    private final RegionConfig regions;
    private final RoutingActions actions;
    private final long timerHandle;
    private final boolean enabled;
    private final List<PeerProtocol> protocols = new ArrayList<>();
    private RegionCoordinator region;
    private boolean started;
    /** When a timer is set for; none before the start, and none where fronts may not speak. */
    private long timerAt = Long.MAX_VALUE;
    /** Until when only the membership is called. */
    private long pausedUntil = Long.MIN_VALUE;

    /** {@code regions} is null where they are off; timers bear the handle; {@code enabled} is whether fronts may. */
    FleetProtocols(MembershipConfig setup, RegionConfig regions, RoutingActions actions, long handle, boolean speaks) {
        this.regions = speaks ? regions : null;
        this.actions = actions;
        this.timerHandle = handle;
        this.enabled = speaks;
        membership = new MembershipProtocol(setup.startedMs() * 1_000, setup, new DatagramSender() {
            @Override
            public void send(int front, byte[] message) {
                actions.sendToPeer(front, message);
            }

            @Override
            public void knock(int front, long at) {
                actions.probeReachability(front, at);
            }
        });
    }

    /** One more that is driven from now on. */
    void add(PeerProtocol speaker) {
        protocols.add(speaker);
    }

    /** The first list has come: from now on the others hear of this front. */
    void start(long now) {
        started = true;
        if (regions != null) {
            // Its clock starts now: promises of an earlier process may stand for a lease.
            region = new RegionCoordinator(now, regions, membership, actions::sendToPeer);
            add(new PeerProtocol(RegionCoordinator::isOurs, region::heard, region::due, region::tick));
        }
        scheduleTimer(now);
    }

    /** Who is there. */
    MembershipView membershipView() {
        return membership;
    }

    /** The regions, or null where they are off or nothing has started yet. */
    RegionCoordinator region() {
        return region;
    }

    /** Takes a message that is meant for one of them; false for any other. */
    boolean dispatch(long now, long sender, byte[] message) {
        if (MembershipProtocol.isOurs(message)) {
            membership.heard(now, (int) sender, message);
            scheduleTimer(now);
            return true;
        }
        for (PeerProtocol speaker : protocols) {
            if (speaker.accepts().test(message)) {
                speaker.handler().handle(now, (int) sender, message);
                scheduleTimer(now);
                return true;
            }
        }
        return false;
    }

    /** The timer is due. */
    void timerExpired(long now) {
        timerAt = now < timerAt ? timerAt : Long.MAX_VALUE;
        // It looks around whenever it is called, as it did before others were driven with it.
        membership.tick(now);
        boolean others = false;
        for (PeerProtocol speaker : protocols) {
            if (now >= pausedUntil && speaker.due().applyAsLong(now) <= now) {
                speaker.tick().accept(now);
                others = true;
            }
        }
        pausedUntil = others ? now + MIN_INTERVAL_US : pausedUntil;
        scheduleTimer(now);
    }

    /** When one of them wants to be called next. */
    long due(long now) {
        long due = Long.MAX_VALUE;
        for (PeerProtocol speaker : protocols) {
            due = Math.min(due, speaker.due().applyAsLong(now));
        }
        return Math.min(membership.due(), Math.max(pausedUntil, due));
    }

    /** Sets the timer if one of them wants to be called sooner than it stands. */
    void scheduleTimer(long now) {
        if (enabled && started) {
            long due = due(now);
            if (due < timerAt) {
                timerAt = due;
                actions.setTimer(due, timerHandle);
            }
        }
    }

    /** Whether this front serves from now on, or wants no more clients. */
    void serving(long now, boolean serves) {
        if (serves) {
            membership.ready(now);
        }
        membership.leave(now, !serves);
        scheduleTimer(now);
    }

    /** Asked at a time whether anybody listens there, the machine of another front said no. */
    void reachabilityRefused(long now, int front, long askedAt) {
        membership.refused(now, front, askedAt);
        scheduleTimer(now);
    }
}
