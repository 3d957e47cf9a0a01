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
 * Drives the protocols between routers: the membership, and others that are enabled. Each message is dispatched by its
 * first byte, and one timer serves all of them. Nothing is decided here.
 */
final class FleetProtocols {
    /** A protocol besides the membership: which messages are its own, and when it wants to be called. */
    record PeerProtocol(Predicate<byte[]> accepts, MessageHandler handler, LongUnaryOperator due, LongConsumer tick) {}

    /** Handles the messages of a protocol. */
    interface MessageHandler {
        /** A message came from the address of a router. */
        void handle(long now, int sender, byte[] message);
    }

    /**
     * us; least time from one call of the other protocols to the next: one may be due again at once for something that
     * it can not do yet, such as to propose while no peer is reachable.
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
    /** When the timer expires; {@link Long#MAX_VALUE} for none: before the start, or where messages are not allowed. */
    private long timerDueAt = Long.MAX_VALUE;
    /** Until when only the membership is called. */
    private long pausedUntil = Long.MIN_VALUE;

    /**
     * The protocols of one router.
     *
     * @param regions the configuration of its regions; null where they are off
     * @param timerHandle the handle of the timers that it sets
     * @param enabled whether routers may send messages
     */
    FleetProtocols(
            MembershipConfig config, RegionConfig regions, RoutingActions actions, long timerHandle, boolean enabled) {
        this.regions = enabled ? regions : null;
        this.actions = actions;
        this.timerHandle = timerHandle;
        this.enabled = enabled;
        membership = new MembershipProtocol(config.startedMs() * 1_000, config, new DatagramSender() {
            @Override
            public void send(int router, byte[] message) {
                actions.sendToPeer(router, message);
            }

            @Override
            public void probe(int router, long at) {
                actions.probeReachability(router, at);
            }
        });
    }

    /** Adds a protocol, which is driven from now on. */
    void add(PeerProtocol protocol) {
        protocols.add(protocol);
    }

    /** The first list came: from now on the other routers hear of this one. */
    void start(long now) {
        started = true;
        if (regions != null) {
            // Its clock starts now: a promise of an earlier process may still support a lease.
            region = new RegionCoordinator(now, regions, membership, actions::sendToPeer);
            add(new PeerProtocol(
                    RegionCoordinator::isRegionMessage, region::messageReceived, region::due, region::tick));
        }
        scheduleTimer(now);
    }

    /** The routers of the fleet, as far as is known. */
    MembershipView membershipView() {
        return membership;
    }

    /** The regions; null while they are off, or before the start. */
    RegionCoordinator region() {
        return region;
    }

    /** Dispatches a message to its protocol; false where it belongs to none. */
    boolean dispatch(long now, long sender, byte[] message) {
        if (MembershipProtocol.isMembershipMessage(message)) {
            membership.messageReceived(now, (int) sender, message);
            scheduleTimer(now);
            return true;
        }
        for (PeerProtocol protocol : protocols) {
            if (protocol.accepts().test(message)) {
                protocol.handler().handle(now, (int) sender, message);
                scheduleTimer(now);
                return true;
            }
        }
        return false;
    }

    /** The timer expired. */
    void timerExpired(long now) {
        timerDueAt = now < timerDueAt ? timerDueAt : Long.MAX_VALUE;
        // The membership expects a call with every expiry, whether or not it is due.
        membership.tick(now);
        boolean anyTicked = false;
        for (PeerProtocol protocol : protocols) {
            if (now >= pausedUntil && protocol.due().applyAsLong(now) <= now) {
                protocol.tick().accept(now);
                anyTicked = true;
            }
        }
        pausedUntil = anyTicked ? now + MIN_INTERVAL_US : pausedUntil;
        scheduleTimer(now);
    }

    /** When a protocol wants to be called next. */
    long due(long now) {
        long due = Long.MAX_VALUE;
        for (PeerProtocol protocol : protocols) {
            due = Math.min(due, protocol.due().applyAsLong(now));
        }
        return Math.min(membership.due(), Math.max(pausedUntil, due));
    }

    /** Sets the timer where a protocol wants to be called sooner. */
    void scheduleTimer(long now) {
        if (enabled && started) {
            long due = due(now);
            if (due < timerDueAt) {
                timerDueAt = due;
                actions.setTimer(due, timerHandle);
            }
        }
    }

    /** Whether this router serves from now on, or drains. */
    void setServing(long now, boolean serving) {
        if (serving) {
            membership.startServing(now);
        }
        membership.setDraining(now, !serving);
        scheduleTimer(now);
    }

    /** The host of another router refused a reachability probe that was sent at a time. */
    void reachabilityRefused(long now, int router, long probedAt) {
        membership.probeRefused(now, router, probedAt);
        scheduleTimer(now);
    }
}
