package magpiewheel.core;

import magpiewheel.module.Director;

/** How a node's side saw an attempt end; the body is set with {@code OK} unless the client's copy holds. */
public record Outcome(Director.Result result, Director.Note note, long firstByteUs, Body body, String tag,
        boolean unchanged) {
    /** An end that brought no copy. */
    public static Outcome of(Director.Result result) {
        return new Outcome(result, Director.Note.NONE, 0, null, null, false);
    }
}
