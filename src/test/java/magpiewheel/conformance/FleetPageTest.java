package magpiewheel.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import magpiewheel.membership.MemberStatus;
import magpiewheel.membership.PartitionVerdict;
import org.junit.jupiter.api.Test;

/** The tables of the fleet page name exactly the states and verdicts of the code, in the same order. */
class FleetPageTest {
    private static final Path PAGE = Path.of("docs/design/fleet-as-one.md");

    private static List<Map<String, String>> table(String heading) throws IOException {
        return PageTable.read(PAGE, heading);
    }

    private static List<String> names(Enum<?>[] values) {
        return Arrays.stream(values).map(Enum::name).toList();
    }

    /** The order matters: within one incarnation a later state overrides an earlier one. */
    @Test
    void statesMatchMemberStatusInOrder() throws IOException {
        assertEquals(names(MemberStatus.values()), PageTable.column(table("## States"), "state"));
    }

    @Test
    void everyStateRowIsComplete() throws IOException {
        for (Map<String, String> row : table("## States")) {
            assertEquals(
                    List.of(),
                    row.keySet().stream()
                            .filter(column -> row.get(column).isEmpty())
                            .toList(),
                    row.get("state"));
        }
    }

    @Test
    void verdictsMatchPartitionVerdictInOrder() throws IOException {
        String column = "verdict";
        assertEquals(names(PartitionVerdict.values()), PageTable.column(table("## Verdict on the own view"), column));
    }

    /** Upper-case words in code quotes must be states or verdicts of the code in all tables. */
    @Test
    void tablesUseOnlyKnownStatesAndVerdicts() throws IOException {
        Set<String> known = new HashSet<>(names(MemberStatus.values()));
        known.addAll(names(PartitionVerdict.values()));
        Pattern quoted = Pattern.compile("`([A-Z_]{2,})`");
        for (String heading : List.of("## Seams", "## States", "## Verdict on the own view", "## What follows")) {
            String text = table(heading).stream()
                    .map(row -> String.join(" ", row.values()))
                    .collect(Collectors.joining(" "));
            for (Matcher word = quoted.matcher(text); word.find(); ) {
                assertTrue(
                        known.contains(word.group(1)), heading + " uses the unknown state or verdict " + word.group(1));
            }
        }
    }

    /**
     * Each limit is listed once. Hard limits are divided by the routers that may be running, soft limits by those that
     * are heard.
     */
    @Test
    void hardLimitsAreDividedByRoutersThatMayRun() throws IOException {
        List<Map<String, String>> rows = table("## What follows");
        List<String> limits = PageTable.column(rows, "limit");
        assertEquals(limits.size(), new HashSet<>(limits).size(), "duplicate limit in " + limits);
        assertEquals(Set.of("hard", "soft"), new HashSet<>(PageTable.column(rows, "kind")));
        for (Map<String, String> row : rows) {
            String divisor = row.get("divided by");
            assertTrue(divisor.endsWith(row.get("kind").equals("hard") ? "may be running" : "heard"), row.toString());
        }
    }
}
