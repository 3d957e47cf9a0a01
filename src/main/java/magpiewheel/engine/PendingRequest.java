package magpiewheel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiewheel.routing.CacheStatus;
import magpiewheel.staleness.ReadHint;

/** A client's request from when it was taken until its last attempt has ended. The module's actor owns it. */
public final class PendingRequest {
    /** What a front was asked for; {@code nonce} and {@code held} may be null, {@code body} too. */
    public record Ask(
            String trace,
            int profile,
            String className,
            long object,
            int part,
            int group,
            double kbytes,
            long patienceUs,
            String nonce,
            String held,
            Body body,
            ReadHint hint) {
        /** Without a hint. */
        public Ask(
                String trace,
                int profile,
                String className,
                long object,
                int part,
                int group,
                double kbytes,
                long patienceUs,
                String nonce,
                String held,
                Body body) {
            this(trace, profile, className, object, part, group, kbytes, patienceUs, nonce, held, body, ReadHint.NONE);
        }
    }

    /** The four ends that a request can have. */
    public enum End {
        SERVED,
        UNCHANGED,
        REFUSED,
        FAILED
    }

    /**
     * A final answer. Who gets it releases the body, which is null but for {@code SERVED}. {@code own} marks a copy of
     * the front's own, {@code note} is what the cache said of its. {@code markMs} and {@code agedMs} are told where
     * they are not 0.
     */
    public record Answer(
            End end, Body body, String tag, long pauseUs, boolean own, CacheStatus note, long markMs, long agedMs) {
        /** Turned away before anything was done. */
        public static Answer refused(long pauseUs) {
            return new Answer(End.REFUSED, null, null, pauseUs, false, CacheStatus.UNKNOWN, 0, 0);
        }

        /** Failed. */
        public static Answer failed() {
            return new Answer(End.FAILED, null, null, 0, false, CacheStatus.UNKNOWN, 0, 0);
        }
    }

    /** The addresses and ports at both ends of a client's connection. */
    public record Ends(int front, int frontPort, int client, int clientPort) {}

    /** Where the one final answer goes; called on the module's actor, so it must not wait. */
    public interface Asker {
        /** The final answer. */
        void answer(PendingRequest call, Answer answer);

        /** Where the client is; null where that is not known. */
        Ends ends();
    }

    final Ask ask;
    final Asker asker;
    final long takenAt;
    final long patientUntil;
    final long deadline;
    long id;
    Timers.Timer overdueTimer;
    ResponseCache.Copy own;
    boolean answered;
    boolean bodyFreed;
    private volatile boolean abandoned;
    int open;
    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Object> carriers = new CopyOnWriteArrayList<>();

    /**
     * A call taken at a time, to be answered before its deadline: the client's patience, or less where the front ends.
     */
    public PendingRequest(Ask ask, Asker asker, long takenAt, long patientUntil, long deadline) {
        this.ask = ask;
        this.asker = asker;
        this.takenAt = takenAt;
        this.patientUntil = patientUntil;
        this.deadline = deadline;
    }

    /**
     * The client waits no longer. It counts from this moment, on whichever thread it is noticed and however full the
     * mailboxes on the way to the module are: no attempt of this request begins any more. {@link Engine#gone} follows.
     */
    public void abandon() {
        abandoned = true;
    }

    /** Whether the client waits no longer. */
    public boolean abandoned() {
        return abandoned;
    }

    /** A connection carries a try of it. */
    public void carriedBy(Object connection) {
        carriers.add(connection);
    }

    /** Whether a connection carried an earlier try: a late second copy of that answer would pass for the next one's. */
    public boolean wasCarriedBy(Object connection) {
        return carriers.contains(connection);
    }

    /** What was asked for. */
    public Ask ask() {
        return ask;
    }

    /** Where its client is. */
    public Ends ends() {
        return asker.ends();
    }

    /** When it was taken, in Unix microseconds. */
    public long takenAt() {
        return takenAt;
    }
}
