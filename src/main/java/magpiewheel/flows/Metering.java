package magpiewheel.flows;

import magpiewheel.engine.AttemptListener;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.UnixClock;
import magpiewheel.records.FlowRecord;
import magpiewheel.records.FlowRing;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import magpiewheel.routing.RouterTopology;

/**
 * Turns what the core tells of answers and attempts into flows. It runs on the threads of clients' actors and the
 * module's, so it only leaves a flow in the ring: no lock, no garbage, nobody woken.
 */
public final class Metering implements ResponseListener, AttemptListener {
    private static final int NO_CLASS = -1;
    private static final double OCTETS_A_KB = 1_000;
    private final FlowRing ring;
    private final UnixClock clock;
    private final RouterTopology place;
    private final int front;
    private final int frontPort;

    /** Of the front at an address. */
    public Metering(FlowRing ring, UnixClock clock, RouterTopology place, int front, int frontPort) {
        this.ring = ring;
        this.clock = clock;
        this.place = place;
        this.front = front;
        this.frontPort = frontPort;
    }

    @Override
    public void responseSent(
            PendingRequest.ConnectionAddresses ends,
            PendingRequest.ClientRequest ask,
            int profile,
            PendingRequest.Response answer,
            long takenAtUs,
            long octets,
            boolean whole) {
        FlowRecord.End end = !whole
                ? FlowRecord.End.CUT_OFF
                : switch (answer.outcome()) {
                    case SERVED -> FlowRecord.End.SERVED;
                    case UNCHANGED -> FlowRecord.End.UNCHANGED;
                    case REJECTED -> FlowRecord.End.REFUSED;
                    case FAILED -> FlowRecord.End.FAILED;
                };
        FlowRecord.SourceKind from = answer.fromLocalCopy()
                ? FlowRecord.SourceKind.OWN_COPY
                : answer.outcome() == PendingRequest.Outcome.SERVED
                                || answer.outcome() == PendingRequest.Outcome.UNCHANGED
                        ? FlowRecord.SourceKind.CACHE
                        : FlowRecord.SourceKind.NONE;
        ring.offer(
                FlowRecord.Kind.SEND,
                takenAtUs / 1_000,
                clock.now() / 1_000,
                ends == null ? front : ends.routerAddress(),
                ends == null ? frontPort : ends.routerPort(),
                ends == null ? 0 : ends.clientAddress(),
                ends == null ? 0 : ends.clientPort(),
                octets,
                0,
                profile < 0 ? NO_CLASS : profile,
                place.zone(),
                from,
                end,
                hit(answer.cacheStatus()),
                ask == null ? 0 : ask.object(),
                ask == null ? 0 : ask.part(),
                0);
    }

    @Override
    public void attemptEnded(
            PendingRequest.ClientRequest ask,
            ListedEndpoint target,
            ListedEndpoint source,
            AttemptResult result,
            CacheStatus note,
            long sentAtUs,
            long endedAtUs,
            int octets) {
        if (target == null) {
            return;
        }
        boolean filled = note.isFilled();
        boolean past = kind(target) != FlowRecord.SourceKind.CACHE;
        if (result == AttemptResult.OK) {
            // Past the caches the bytes come over the same link, only into the front itself.
            ListedEndpoint from = past ? target : source;
            if (from == null || !past && !filled) {
                return;
            }
            ring.offer(
                    FlowRecord.Kind.FILL,
                    sentAtUs / 1_000,
                    endedAtUs / 1_000,
                    from.address(),
                    from.port(),
                    past ? front : target.address(),
                    past ? 0 : target.port(),
                    octets,
                    ask.sizeKb() > 0 ? (long) (ask.sizeKb() * OCTETS_A_KB) : octets,
                    ask.classIndex(),
                    place.zone(),
                    kind(from),
                    FlowRecord.End.SERVED,
                    hit(note),
                    ask.object(),
                    ask.part(),
                    target.info().id());
        } else if (result != AttemptResult.CANCELLED
                && result != AttemptResult.EXPIRED
                && result != AttemptResult.MISS) {
            ring.offer(
                    FlowRecord.Kind.FAILED_ATTEMPT,
                    sentAtUs / 1_000,
                    endedAtUs / 1_000,
                    target.address(),
                    target.port(),
                    front,
                    0,
                    0,
                    0,
                    ask.classIndex(),
                    place.zone(),
                    kind(target),
                    end(result),
                    hit(note),
                    ask.object(),
                    ask.part(),
                    target.info().id());
        }
    }

    private FlowRecord.SourceKind kind(ListedEndpoint node) {
        return node.info().kind() == place.originKind()
                ? FlowRecord.SourceKind.ORIGIN
                : node.info().kind() == place.parentKind() ? FlowRecord.SourceKind.PARENT : FlowRecord.SourceKind.CACHE;
    }

    private static FlowRecord.End end(AttemptResult result) {
        return switch (result) {
            case TIMEOUT -> FlowRecord.End.TIMED_OUT;
            case UNREACHABLE -> FlowRecord.End.UNREACHED;
            case CONNECTION_LOST -> FlowRecord.End.BROKEN;
            case REJECTED -> FlowRecord.End.TURNED_AWAY;
            case CORRUPT -> FlowRecord.End.SPOILT;
            case ERROR -> FlowRecord.End.FAILED;
            default -> FlowRecord.End.OTHER;
        };
    }

    private static FlowRecord.Hit hit(CacheStatus note) {
        return switch (note) {
            case HIT -> FlowRecord.Hit.HIT;
            case FILLED -> FlowRecord.Hit.FILLED;
            case FILLED_BY_ORIGIN -> FlowRecord.Hit.VIA_ORIGIN;
            case COALESCED -> FlowRecord.Hit.JOINED;
            case STALE -> FlowRecord.Hit.STALE;
            default -> FlowRecord.Hit.NONE;
        };
    }
}
