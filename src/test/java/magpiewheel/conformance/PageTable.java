package magpiewheel.conformance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the first table under a heading of a Markdown page, so that the page and the tests share the same cases. Each
 * row maps column names to cells. A malformed table is an error that names the line; no row is skipped.
 */
public final class PageTable {
    private PageTable() {}

    /**
     * Returns the rows of the first table between this heading and the next heading of the same or a higher level.
     *
     * @param heading the whole line of the heading, with its number signs
     * @throws IllegalArgumentException if the heading or the table is missing, or the table is malformed
     */
    public static List<Map<String, String>> read(Path page, String heading) throws IOException {
        return parse(Files.readAllLines(page), heading);
    }

    /** Like {@link #read}, for the lines of a page. */
    public static List<Map<String, String>> parse(List<String> lines, String heading) {
        int headingLine = findHeading(lines, heading);
        int endLine = findSectionEnd(lines, headingLine);
        int tableLine = headingLine + 1;
        while (tableLine < endLine && !isRow(lines, tableLine)) {
            tableLine++;
        }
        if (tableLine == endLine) {
            throw new IllegalArgumentException("no table under '" + heading + "'");
        }
        List<String> names = parseCells(lines.get(tableLine), tableLine);
        if (new HashSet<>(names).size() < names.size()) {
            throw parseError(tableLine, "duplicate column in " + names);
        }
        if (tableLine + 1 == endLine
                || !isDelimiterRow(lines.get(tableLine + 1))
                || parseCells(lines.get(tableLine + 1), tableLine + 1).size() != names.size()) {
            throw parseError(tableLine + 1, "expected a delimiter row with " + names.size() + " columns");
        }
        List<Map<String, String>> rows = new ArrayList<>();
        for (int i = tableLine + 2; i < endLine && isRow(lines, i); i++) {
            List<String> cells = parseCells(lines.get(i), i);
            if (cells.size() != names.size()) {
                throw parseError(i, "row has " + cells.size() + " cells, expected " + names.size());
            }
            Map<String, String> row = new LinkedHashMap<>();
            for (int column = 0; column < cells.size(); column++) {
                row.put(names.get(column), cells.get(column));
            }
            rows.add(Collections.unmodifiableMap(row));
        }
        return rows;
    }

    /** Returns the cells of one column, without code quotes. */
    public static List<String> column(List<Map<String, String>> rows, String name) {
        return rows.stream()
                .map(row -> {
                    if (!row.containsKey(name)) {
                        throw new IllegalArgumentException("no column '" + name + "' among " + row.keySet());
                    }
                    return stripCodeQuotes(row.get(name));
                })
                .toList();
    }

    /** Returns a cell without code quotes, if a single pair of them encloses the whole cell. */
    public static String stripCodeQuotes(String cell) {
        boolean quoted = cell.length() > 1
                && cell.startsWith("`")
                && cell.endsWith("`")
                && cell.indexOf('`', 1) == cell.length() - 1;
        return quoted ? cell.substring(1, cell.length() - 1) : cell;
    }

    /** Returns the text as a cell for writing: vertical bars are escaped, white space becomes single spaces. */
    public static String escapeCell(String text) {
        return text.replace("|", "\\|").replaceAll("\\s+", " ").strip();
    }

    private static int findHeading(List<String> lines, String heading) {
        boolean code = false;
        for (int i = 0; i < lines.size(); i++) {
            code ^= isFence(lines.get(i));
            if (!code && lines.get(i).strip().equals(heading)) {
                return i;
            }
        }
        throw new IllegalArgumentException("no heading '" + heading + "'");
    }

    private static int findSectionEnd(List<String> lines, int heading) {
        boolean code = false;
        for (int i = heading + 1; i < lines.size(); i++) {
            code ^= isFence(lines.get(i));
            if (!code
                    && headingLevel(lines.get(i)) > 0
                    && headingLevel(lines.get(i))
                            <= headingLevel(lines.get(heading).strip())) {
                return i;
            }
        }
        return lines.size();
    }

    /** Returns the level of a heading, or 0 if the line is not a heading. */
    private static int headingLevel(String line) {
        int level = 0;
        while (level < line.length() && line.charAt(level) == '#') {
            level++;
        }
        return level < line.length() && line.charAt(level) == ' ' ? level : 0;
    }

    private static boolean isFence(String line) {
        return line.strip().startsWith("```");
    }

    private static boolean isRow(List<String> lines, int line) {
        return lines.get(line).strip().startsWith("|");
    }

    private static boolean isDelimiterRow(String line) {
        return line.strip().matches("\\|(\\s*:?-+:?\\s*\\|)+");
    }

    /** Returns the cells of a row, with escaped vertical bars unescaped. */
    private static List<String> parseCells(String line, int lineIndex) {
        String row = line.strip();
        if (row.length() < 2 || !row.endsWith("|") || row.endsWith("\\|")) {
            throw parseError(lineIndex, "row does not end with a vertical bar");
        }
        List<String> cells = new ArrayList<>();
        StringBuilder cell = new StringBuilder();
        for (int i = 1; i < row.length(); i++) {
            if (row.charAt(i) == '\\' && i + 1 < row.length() && row.charAt(i + 1) == '|') {
                cell.append('|');
                i++;
            } else if (row.charAt(i) == '|') {
                cells.add(cell.toString().strip());
                cell.setLength(0);
            } else {
                cell.append(row.charAt(i));
            }
        }
        return cells;
    }

    private static IllegalArgumentException parseError(int lineIndex, String reason) {
        return new IllegalArgumentException("line " + (lineIndex + 1) + ": " + reason);
    }
}
