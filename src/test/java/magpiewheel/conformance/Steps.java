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
        void run(W world, MatchResult words) throws Exception;
    }

    private record Phrase<W>(Pattern pattern, Step<W> step) {}

    private final List<Phrase<W>> acts = new ArrayList<>();
    private final List<Phrase<W>> checks = new ArrayList<>();

    /** A phrase for what is given or happens. */
    public Steps<W> act(String pattern, Step<W> step) {
        acts.add(new Phrase<>(Pattern.compile(pattern), step));
        return this;
    }

    /** A phrase for what must follow; it throws an AssertionError where it does not. */
    public Steps<W> check(String pattern, Step<W> step) {
        checks.add(new Phrase<>(Pattern.compile(pattern), step));
        return this;
    }

    void act(W world, String text) throws Exception {
        run(acts, world, text);
    }

    void check(W world, String text) throws Exception {
        run(checks, world, text);
    }

    private static <W> void run(List<Phrase<W>> phrases, W world, String text) throws Exception {
        List<Phrase<W>> fit = phrases.stream()
                .filter(phrase -> phrase.pattern().matcher(text).matches())
                .toList();
        if (fit.size() != 1) {
            throw new IllegalArgumentException(fit.size() + " phrases say '" + text + "'");
        }
        Matcher words = fit.get(0).pattern().matcher(text);
        words.matches();
        fit.get(0).step().run(world, words);
    }

    /** Phrases that no row uses: a table that says less than it can is found out. */
    public List<String> unused(List<Rows.Row> rows) {
        List<String> unused = new ArrayList<>();
        for (Phrase<W> phrase : acts) {
            if (rows.stream().noneMatch(row -> used(phrase, row.given()) || used(phrase, row.when()))) {
                unused.add(phrase.pattern().pattern());
            }
        }
        for (Phrase<W> phrase : checks) {
            if (rows.stream().noneMatch(row -> used(phrase, row.then()))) {
                unused.add(phrase.pattern().pattern());
            }
        }
        return unused;
    }

    private static boolean used(Phrase<?> phrase, List<String> steps) {
        return steps.stream().anyMatch(step -> phrase.pattern().matcher(step).matches());
    }
}
