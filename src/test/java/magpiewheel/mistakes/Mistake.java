package magpiewheel.mistakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.DynamicTest;

/**
 * A deliberate one: in a file, instead of a piece of code that is there once, another one; and a test that has to
 * notice.
 */
public record Mistake(String what, String file, String piece, String instead, String noticed) {
    /**
     * Makes it in a copy of a package's sources, which are compiled apart, and has the player play the test that has to
     * notice in a process of its own. The player's main method writes a line {@code FAILED NAME} for each test that
     * fails.
     */
    public DynamicTest isNoticed(Path folder, Path sources, Class<?> player) {
        return DynamicTest.dynamicTest(what, () -> {
            Set<String> failed = failed(folder, sources, player);
            System.out.println("| " + what + " | `" + String.join("`, `", failed) + "` |");
            assertTrue(failed.contains(noticed), () -> noticed + " does not fail, only " + failed);
        });
    }

    private Set<String> failed(Path folder, Path sources, Class<?> player) throws IOException, InterruptedException {
        Path place = Files.createTempDirectory(folder, "mistake");
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        List<String> compile = new ArrayList<>(List.of("-d", place.toString(), "--release", "17", "-cp", classes));
        try (Stream<Path> files = Files.list(sources)) {
            for (Path each : files.toList()) {
                String code = Files.readString(each);
                if (each.getFileName().toString().equals(file + ".java")) {
                    int at = code.indexOf(piece);
                    assertTrue(at >= 0, () -> file + " has no \"" + piece + '"');
                    assertEquals(-1, code.indexOf(piece, at + 1), () -> "more than once: " + piece);
                    code = code.replace(piece, instead);
                }
                compile.add(Files.writeString(place.resolve(each.getFileName()), code)
                        .toString());
            }
        }
        assertEquals(0, ToolProvider.getSystemJavaCompiler().run(null, null, null, compile.toArray(new String[0])));
        Process play = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        place + System.getProperty("path.separator") + classes,
                        "-XX:+UseSerialGC",
                        player.getName(),
                        noticed)
                .redirectError(ProcessBuilder.Redirect.to(place.resolve("said").toFile()))
                .start();
        Set<String> failed = new TreeSet<>();
        try (Stream<String> lines = play.inputReader().lines()) {
            lines.filter(line -> line.startsWith("FAILED ")).forEach(line -> failed.add(line.substring(7)));
        }
        int end = play.waitFor();
        assertEquals(0, end, Files.readString(place.resolve("said")));
        return failed;
    }
}
