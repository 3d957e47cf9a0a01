package magpiewheel.core;

import magpiewheel.module.Director;

/** Sees every attempt end. Called on the module's actor, so it must not wait. */
public interface AttemptWatch {
    /** An attempt ended; a node that the list names no longer is null. {@code octets} came with its answer. */
    void ended(
            Call.Ask ask,
            Listed target,
            Listed source,
            Director.Result result,
            Director.Note note,
            long sentAtUs,
            long endedAtUs,
            int octets);
}
