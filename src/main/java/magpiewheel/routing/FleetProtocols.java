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
 * Drives the protocols between routers: membership and the optional ones that are enabled. Messages are dispatched by
 * their first byte, and one timer serves all protocols. This class makes no routing decisions.
 */
final class FleetProtocols {
    /**
     * A protocol other than membership.
     *
     * @param accepts whether a message belongs to the protocol
     * @param handler handles such a message
     * @param due returns the time of the next call that the protocol needs, given the current time
     * @param tick is called with the current time once the protocol is due
     */
    record PeerProtocol(Predicate<byte[]> accepts, MessageHandler handler, LongUnaryOperator due, LongConsumer tick) {}

    /** Handles the messages of a protocol. */
    interface MessageHandler {
        /** Handles a message that arrived from the address of a router. */
        void handle(long now, int sender, byte[] message);
    }

    /**
     * Minimum interval between calls of the optional protocols. Without it, a protocol with work that it can't do yet,
     * such as a proposal while no peer is reachable, would be due again immediately.
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
    /**
     * When the timer expires; {@link Long#MAX_VALUE} while none is set: before the start, or where routers may not send
     * messages.
     */
    private long timerDueAt = Long.MAX_VALUE;
    /** Time until which only membership is called. */
    private long pausedUntil = Long.MIN_VALUE;

    /**
     * Creates the protocols of one router; only membership at first.
     *
     * @param regions the configuration of its regions; null where they are disabled
     * @param timerHandle the handle of the timers that this class sets
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

    /** Adds a protocol; it is called from now on. */
    void add(PeerProtocol protocol) {
        protocols.add(protocol);
    }

    /** Starts the protocols, when the first endpoint list has arrived; from now on this router sends messages. */
    void start(long now) {
        started = true;
        if (regions != null) {
            // Its clock starts now: a promise that the previous process gave may still support a lease.
            region = new RegionCoordinator(now, regions, membership, actions::sendToPeer);
            add(new PeerProtocol(
                    RegionCoordinator::isRegionMessage, region::messageReceived, region::due, region::tick));
        }
        scheduleTimer(now);
    }

    /** Returns this router's view of the routers of the site. */
    MembershipView membershipView() {
        return membership;
    }

    /** Returns the region coordinator; null where regions are disabled, or before the start. */
    RegionCoordinator region() {
        return region;
    }

    /** Dispatches a message to its protocol; returns false if no protocol accepts it. */
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

    /** Calls the protocols that are due, when the timer has expired. */
    void timerExpired(long now) {
        timerDueAt = now < timerDueAt ? timerDueAt : Long.MAX_VALUE;
        // Membership expects a call on every expiry, whether or not it is due.
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

    /** Returns the time at which the next protocol is due. */
    long due(long now) {
        long due = Long.MAX_VALUE;
        for (PeerProtocol protocol : protocols) {
            due = Math.min(due, protocol.due().applyAsLong(now));
        }
        return Math.min(membership.due(), Math.max(pausedUntil, due));
    }

    /** Sets the timer if a protocol is due before it expires. */
    void scheduleTimer(long now) {
        if (enabled && started) {
            long due = due(now);
            if (due < timerDueAt) {
                timerDueAt = due;
                actions.setTimer(due, timerHandle);
            }
        }
    }

    /** Sets whether this router serves or drains from now on. */
    void setServing(long now, boolean serving) {
        if (serving) {
            membership.startServing(now);
        }
        membership.setDraining(now, !serving);
        scheduleTimer(now);
    }

    /** Handles the refusal, by the host of another router, of a reachability probe sent at {@code probedAt}. */
    void reachabilityRefused(long now, int router, long probedAt) {
        membership.probeRefused(now, router, probedAt);
        scheduleTimer(now);
    }
}
