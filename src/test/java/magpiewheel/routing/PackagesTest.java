package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Dependency rules of the packages: no cyclic imports, and the core imports no network protocol. */
class PackagesTest {
    private static final Pattern IMPORT = Pattern.compile("import magpiewheel\\.([a-z]+)\\.");

    private static Map<String, Set<String>> imports() throws IOException {
        Map<String, Set<String>> importsByPackage = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/magpiewheel"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String packageName = file.getParent().getFileName().toString();
                Set<String> imported = importsByPackage.computeIfAbsent(packageName, key -> new TreeSet<>());
                Matcher matcher = IMPORT.matcher(Files.readString(file));
                while (matcher.find()) {
                    imported.add(matcher.group(1));
                }
                imported.remove(packageName);
            }
        }
        return importsByPackage;
    }

    @Test
    void packagesHaveNoCyclicImports() throws IOException {
        Map<String, Set<String>> importsByPackage = imports();
        assertTrue(importsByPackage.size() > 8);
        for (String start : importsByPackage.keySet()) {
            Set<String> reached = new HashSet<>();
            List<String> next = List.copyOf(importsByPackage.get(start));
            while (!next.isEmpty()) {
                reached.addAll(next);
                next = next.stream()
                        .flatMap(p -> importsByPackage.getOrDefault(p, Set.of()).stream())
                        .filter(p -> !reached.contains(p))
                        .distinct()
                        .toList();
            }
            assertTrue(!reached.contains(start), "package " + start + " imports itself through other packages");
        }
    }

    @Test
    void stalenessImportsOnlyMembership() throws IOException {
        assertEquals(Set.of("membership"), imports().get("staleness"));
    }

    @Test
    void routingAndEngineImportOnlyTheirDependencies() throws IOException {
        assertEquals(Set.of(), imports().get("membership"));
        assertEquals(Set.of("membership"), imports().get("region"));
        assertEquals(Set.of("membership", "region", "staleness"), imports().get("routing"));
        assertEquals(Set.of("routing", "staleness"), imports().get("engine"));
    }
}
