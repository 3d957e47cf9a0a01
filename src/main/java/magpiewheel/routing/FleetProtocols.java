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
    record Speaker(Predicate<byte[]> isOurs, Ear ear, LongUnaryOperator due, LongConsumer tick) {}

    /** Who hears messages of other fronts. */
    interface Ear {
        /** A message from the address of a front. */
        void heard(long now, int sender, byte[] message);
    }

    /**
     * us; from one call of all but the membership to the next: one may want more than it can have yet (to propose while
     * nobody hears it), and would want it again at once.
     */
    private static final long PAUSE_US = 5_000;

    private final MembershipProtocol membership;
    private final RegionConfig regions;
    private final RoutingActions out;
    private final long handle;
    private final boolean speaks;
    private final List<Speaker> speakers = new ArrayList<>();
    private RegionCoordinator region;
    private boolean started;
    /** When a timer is set for; none before the start, and none where fronts may not speak. */
    private long wakeAt = Long.MAX_VALUE;
    /** Until when only the membership is called. */
    private long pausedTo = Long.MIN_VALUE;

    /** {@code regions} is null where they are off; timers bear the handle; {@code speaks} is whether fronts may. */
    FleetProtocols(MembershipConfig setup, RegionConfig regions, RoutingActions actions, long handle, boolean speaks) {
        this.regions = speaks ? regions : null;
        this.out = actions;
        this.handle = handle;
        this.speaks = speaks;
        membership = new MembershipProtocol(setup.startedMs() * 1_000, setup, new DatagramSender() {
            @Override
            public void send(int front, byte[] message) {
                out.sendToPeer(front, message);
            }

            @Override
            public void knock(int front, long at) {
                out.probeReachability(front, at);
            }
        });
    }

    /** One more that is driven from now on. */
    void add(Speaker speaker) {
        speakers.add(speaker);
    }

    /** The first list has come: from now on the others hear of this front. */
    void start(long now) {
        started = true;
        if (regions != null) {
            // Its clock starts now: promises of an earlier process may stand for a lease.
            region = new RegionCoordinator(now, regions, membership, out::sendToPeer);
            add(new Speaker(RegionCoordinator::isOurs, region::heard, region::due, region::tick));
        }
        wake(now);
    }

    /** Who is there. */
    MembershipView view() {
        return membership;
    }

    /** The regions, or null where they are off or nothing has started yet. */
    RegionCoordinator region() {
        return region;
    }

    /** Takes a message that is meant for one of them; false for any other. */
    boolean heard(long now, long sender, byte[] message) {
        if (MembershipProtocol.isOurs(message)) {
            membership.heard(now, (int) sender, message);
            wake(now);
            return true;
        }
        for (Speaker speaker : speakers) {
            if (speaker.isOurs().test(message)) {
                speaker.ear().heard(now, (int) sender, message);
                wake(now);
                return true;
            }
        }
        return false;
    }

    /** The timer is due. */
    void tick(long now) {
        wakeAt = now < wakeAt ? wakeAt : Long.MAX_VALUE;
        // It looks around whenever it is called, as it did before others were driven with it.
        membership.tick(now);
        boolean others = false;
        for (Speaker speaker : speakers) {
            if (now >= pausedTo && speaker.due().applyAsLong(now) <= now) {
                speaker.tick().accept(now);
                others = true;
            }
        }
        pausedTo = others ? now + PAUSE_US : pausedTo;
        wake(now);
    }

    /** When one of them wants to be called next. */
    long due(long now) {
        long due = Long.MAX_VALUE;
        for (Speaker speaker : speakers) {
            due = Math.min(due, speaker.due().applyAsLong(now));
        }
        return Math.min(membership.due(), Math.max(pausedTo, due));
    }

    /** Sets the timer if one of them wants to be called sooner than it stands. */
    void wake(long now) {
        if (speaks && started) {
            long due = due(now);
            if (due < wakeAt) {
                wakeAt = due;
                out.setTimer(due, handle);
            }
        }
    }

    /** Whether this front serves from now on, or wants no more clients. */
    void serving(long now, boolean serves) {
        if (serves) {
            membership.ready(now);
        }
        membership.leave(now, !serves);
        wake(now);
    }

    /** Asked at a time whether anybody listens there, the machine of another front said no. */
    void refused(long now, int front, long askedAt) {
        membership.refused(now, front, askedAt);
        wake(now);
    }
}
