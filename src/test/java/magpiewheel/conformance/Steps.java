package magpiewheel.conformance;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The phrases that the rows of a table may use, and what each does in a world. */
public final class Steps<W> {
    /** What a phrase does; the groups of its pattern are its arguments. */
    public interface Step<W> {
        /** Does it in this world; the words are the matched text and its groups. */
        void run(W world, MatchResult match) throws Exception;
    }

    private record Phrase<W>(Pattern pattern, Step<W> step) {}

    private final List<Phrase<W>> actions = new ArrayList<>();
    private final List<Phrase<W>> checks = new ArrayList<>();

    /** A phrase for what is given or happens. */
    public Steps<W> act(String pattern, Step<W> step) {
        actions.add(new Phrase<>(Pattern.compile(pattern), step));
        return this;
    }

    /** A phrase for what must follow; it throws an AssertionError where it does not. */
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

    private static <W> void run(List<Phrase<W>> phrases, W world, String text) throws Exception {
        List<Phrase<W>> matching = phrases.stream()
                .filter(phrase -> phrase.pattern().matcher(text).matches())
                .toList();
        if (matching.size() != 1) {
            throw new IllegalArgumentException(matching.size() + " phrases say '" + text + "'");
        }
        Matcher match = matching.get(0).pattern().matcher(text);
        match.matches();
        matching.get(0).step().run(world, match);
    }

    /** Phrases that no row uses: a table that says less than it can is found out. */
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
