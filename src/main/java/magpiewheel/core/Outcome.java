package magpiewheel.core;

import magpiewheel.module.Director;

/**
 * How a node's side saw an attempt end, and when (Unix us): an answer that waited here for its turn says nothing of how
 * long its node took. The body is set with {@code OK} unless the client's copy holds.
 */
public record Outcome(
        Director.Result result,
        Director.Note note,
        long firstByteUs,
        Body body,
        String tag,
        boolean unchanged,
        long atUs,
        long mintedMs) {
    /** An end that brought no copy. */
    public static Outcome of(Director.Result result) {
        return new Outcome(result, Director.Note.NONE, 0, null, null, false, Long.MAX_VALUE, 0);
    }
}
