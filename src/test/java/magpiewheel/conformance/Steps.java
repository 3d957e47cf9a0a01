package magpiewheel.conformance;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The phrases that the rows of a table may use, and the action or check that each runs in a world. */
public final class Steps<W> {
    /** The action or check of a phrase; the groups of the phrase's pattern are its arguments. */
    public interface Step<W> {
        /** Runs in this world, with the match of the phrase's pattern. */
        void run(W world, MatchResult match) throws Exception;
    }

    private record Phrase<W>(Pattern pattern, Step<W> step) {}

    private final List<Phrase<W>> actions = new ArrayList<>();
    private final List<Phrase<W>> checks = new ArrayList<>();

    /** Adds a phrase for a step under "given" or "when". */
    public Steps<W> act(String pattern, Step<W> step) {
        actions.add(new Phrase<>(Pattern.compile(pattern), step));
        return this;
    }

    /** Adds a phrase for a step under "then"; its step throws an AssertionError if the check fails. */
    public Steps<W> check(String pattern, Step<W> step) {
        checks.add(new Phrase<>(Pattern.compile(pattern), step));
        return this;
    }

    void act(W world, String phrase) throws Exception {
        run(actions, world, phrase);
    }

    void check(W world, String phrase) throws Exception {
        run(checks, world, phrase);
    }

    private static <W> void run(List<Phrase<W>> phrases, W world, String step) throws Exception {
        List<Phrase<W>> matching = phrases.stream()
                .filter(phrase -> phrase.pattern().matcher(step).matches())
                .toList();
        if (matching.size() != 1) {
            throw new IllegalArgumentException(matching.size() + " phrases match step '" + step + "'");
        }
        Matcher match = matching.get(0).pattern().matcher(step);
        match.matches();
        matching.get(0).step().run(world, match);
    }

    /** Returns the patterns of phrases that no row uses, so that tests find missing rows and stale phrases. */
    public List<String> unusedPhrases(List<Rows.Row> rows) {
        List<String> unused = new ArrayList<>();
        for (Phrase<W> phrase : actions) {
            if (rows.stream().noneMatch(row -> isUsed(phrase, row.given()) || isUsed(phrase, row.when()))) {
                unused.add(phrase.pattern().pattern());
            }
        }
        for (Phrase<W> phrase : checks) {
            if (rows.stream().noneMatch(row -> isUsed(phrase, row.then()))) {
                unused.add(phrase.pattern().pattern());
            }
        }
        return unused;
    }

    private static boolean isUsed(Phrase<?> phrase, List<String> steps) {
        return steps.stream().anyMatch(step -> phrase.pattern().matcher(step).matches());
    }
}
