package magpiewheel.flows;

import magpiewheel.core.AnswerWatch;
import magpiewheel.core.AttemptWatch;
import magpiewheel.core.Call;
import magpiewheel.core.Listed;
import magpiewheel.core.UnixClock;
import magpiewheel.module.Director;
import magpiewheel.records.FlowRecord;
import magpiewheel.records.FlowRing;

/**
 * Turns what the core tells of answers and attempts into flows. It runs on the threads of clients' actors and the
 * module's, so it only leaves a flow in the ring: no lock, no garbage, nobody woken.
 */
public final class Metering implements AnswerWatch, AttemptWatch {
    private static final int NO_CLASS = -1;
    private static final double OCTETS_A_KB = 1_000;
    private final FlowRing ring;
    private final UnixClock clock;
    private final Director.Place place;
    private final int front;
    private final int frontPort;

    /** Of the front at an address. */
    public Metering(FlowRing ring, UnixClock clock, Director.Place place, int front, int frontPort) {
        this.ring = ring;
        this.clock = clock;
        this.place = place;
        this.front = front;
        this.frontPort = frontPort;
    }

    @Override
    public void sent(
            Call.Ends ends, Call.Ask ask, int profile, Call.Answer answer, long takenAtUs, long octets, boolean whole) {
        FlowRecord.End end = !whole
                ? FlowRecord.End.CUT_OFF
                : switch (answer.end()) {
                    case SERVED -> FlowRecord.End.SERVED;
                    case UNCHANGED -> FlowRecord.End.UNCHANGED;
                    case REFUSED -> FlowRecord.End.REFUSED;
                    case FAILED -> FlowRecord.End.FAILED;
                };
        FlowRecord.SourceKind from = answer.own()
                ? FlowRecord.SourceKind.OWN_COPY
                : answer.end() == Call.End.SERVED || answer.end() == Call.End.UNCHANGED
                        ? FlowRecord.SourceKind.CACHE
                        : FlowRecord.SourceKind.NONE;
        ring.offer(
                FlowRecord.Kind.SEND,
                takenAtUs / 1_000,
                clock.now() / 1_000,
                ends == null ? front : ends.front(),
                ends == null ? frontPort : ends.frontPort(),
                ends == null ? 0 : ends.client(),
                ends == null ? 0 : ends.clientPort(),
                octets,
                0,
                profile < 0 ? NO_CLASS : profile,
                place.zone(),
                from,
                end,
                hit(answer.note()),
                ask == null ? 0 : ask.object(),
                ask == null ? 0 : ask.part(),
                0);
    }

    @Override
    public void ended(
            Call.Ask ask,
            Listed target,
            Listed source,
            Director.Result result,
            Director.Note note,
            long sentAtUs,
            long endedAtUs,
            int octets) {
        if (target == null) {
            return;
        }
        boolean filled = note == Director.Note.FILLED || note == Director.Note.VIA_ORIGIN;
        boolean past = kind(target) != FlowRecord.SourceKind.CACHE;
        if (result == Director.Result.OK) {
            // Past the caches the bytes come over the same link, only into the front itself.
            Listed from = past ? target : source;
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
                    ask.kbytes() > 0 ? (long) (ask.kbytes() * OCTETS_A_KB) : octets,
                    ask.profile(),
                    place.zone(),
                    kind(from),
                    FlowRecord.End.SERVED,
                    hit(note),
                    ask.object(),
                    ask.part(),
                    target.member().node());
        } else if (result != Director.Result.CANCELLED
                && result != Director.Result.MOOT
                && result != Director.Result.MISS) {
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
                    ask.profile(),
                    place.zone(),
                    kind(target),
                    end(result),
                    hit(note),
                    ask.object(),
                    ask.part(),
                    target.member().node());
        }
    }

    private FlowRecord.SourceKind kind(Listed node) {
        return node.member().kind() == place.originKind()
                ? FlowRecord.SourceKind.ORIGIN
                : node.member().kind() == place.parentKind()
                        ? FlowRecord.SourceKind.PARENT
                        : FlowRecord.SourceKind.CACHE;
    }

    private static FlowRecord.End end(Director.Result result) {
        return switch (result) {
            case TIMEOUT -> FlowRecord.End.TIMED_OUT;
            case UNREACHED -> FlowRecord.End.UNREACHED;
            case BROKEN -> FlowRecord.End.BROKEN;
            case FULL -> FlowRecord.End.TURNED_AWAY;
            case SPOILT -> FlowRecord.End.SPOILT;
            case ERROR -> FlowRecord.End.FAILED;
            default -> FlowRecord.End.OTHER;
        };
    }

    private static FlowRecord.Hit hit(Director.Note note) {
        return switch (note) {
            case HIT -> FlowRecord.Hit.HIT;
            case FILLED -> FlowRecord.Hit.FILLED;
            case VIA_ORIGIN -> FlowRecord.Hit.VIA_ORIGIN;
            case JOINED -> FlowRecord.Hit.JOINED;
            case STALE -> FlowRecord.Hit.STALE;
            default -> FlowRecord.Hit.NONE;
        };
    }
}
