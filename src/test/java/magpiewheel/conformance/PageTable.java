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
 * The first table under a heading of a page, as rows by the names of their columns: what a page says and what a test
 * checks come from the same cases. A table that can't be read whole is an error that names the line, never fewer rows.
 */
public final class PageTable {
    private PageTable() {}

    /**
     * The rows of the first table between this heading, as it stands on its line, and the next of its level or above.
     */
    public static List<Map<String, String>> read(Path page, String heading) throws IOException {
        return parse(Files.readAllLines(page), heading);
    }

    /** Likewise of the lines of a page. */
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
            throw parseError(tableLine, "a column comes twice");
        }
        if (tableLine + 1 == endLine
                || !isDelimiterRow(lines.get(tableLine + 1))
                || parseCells(lines.get(tableLine + 1), tableLine + 1).size() != names.size()) {
            throw parseError(tableLine + 1, "no line of dashes for " + names.size() + " columns");
        }
        List<Map<String, String>> rows = new ArrayList<>();
        for (int i = tableLine + 2; i < endLine && isRow(lines, i); i++) {
            List<String> cells = parseCells(lines.get(i), i);
            if (cells.size() != names.size()) {
                throw parseError(i, cells.size() + " cells under " + names.size() + " columns");
            }
            Map<String, String> row = new LinkedHashMap<>();
            for (int column = 0; column < cells.size(); column++) {
                row.put(names.get(column), cells.get(column));
            }
            rows.add(Collections.unmodifiableMap(row));
        }
        return rows;
    }

    /** One column of rows, without the quotes of code. */
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

    /** A cell without the quotes of code around it. */
    public static String stripCodeQuotes(String cell) {
        boolean quoted = cell.length() > 1
                && cell.startsWith("`")
                && cell.endsWith("`")
                && cell.indexOf('`', 1) == cell.length() - 1;
        return quoted ? cell.substring(1, cell.length() - 1) : cell;
    }

    /** A cell for a table that is written: what would end it is escaped, what would end its line is a space. */
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

    /** How deep a heading is; 0 for another line. */
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

    /** The cells of a line; an escaped bar is a bar. */
    private static List<String> parseCells(String line, int lineIndex) {
        String row = line.strip();
        if (row.length() < 2 || !row.endsWith("|") || row.endsWith("\\|")) {
            throw parseError(lineIndex, "the row does not end with a bar");
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
