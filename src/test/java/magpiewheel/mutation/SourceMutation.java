package magpiewheel.mutation;

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
 * A mutation of one source file, for testing that a test detects the fault.
 *
 * @param description the fault that the mutation introduces
 * @param file the name of the source file, without {@code .java}
 * @param original a piece of code that occurs exactly once in the file
 * @param replacement the code that replaces it
 * @param detectingTest the name of the test that must fail with the mutation
 */
public record SourceMutation(
        String description, String file, String original, String replacement, String detectingTest) {
    /**
     * Returns a test that applies the mutation to a copy of a package's sources, compiles the copy, and runs the
     * detecting test with it in a separate process.
     *
     * @param folder the directory for the copies
     * @param sources the directory of the package's sources
     * @param testRunner a class whose main method runs the test of this name, and prints a line {@code FAILED NAME} for
     *     each test that fails
     */
    public DynamicTest detectionTest(Path folder, Path sources, Class<?> testRunner) {
        return DynamicTest.dynamicTest(description, () -> {
            Set<String> failed = failedTests(folder, sources, testRunner);
            System.out.println("| " + description + " | `" + String.join("`, `", failed) + "` |");
            assertTrue(failed.contains(detectingTest), () -> detectingTest + " did not fail; failed tests: " + failed);
        });
    }

    private Set<String> failedTests(Path folder, Path sources, Class<?> testRunner)
            throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory(folder, "mutation");
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        List<String> compile = new ArrayList<>(List.of("-d", directory.toString(), "--release", "17", "-cp", classes));
        try (Stream<Path> files = Files.list(sources)) {
            for (Path sourceFile : files.toList()) {
                String code = Files.readString(sourceFile);
                if (sourceFile.getFileName().toString().equals(file + ".java")) {
                    int at = code.indexOf(original);
                    assertTrue(at >= 0, () -> file + ".java does not contain \"" + original + '"');
                    assertEquals(
                            -1,
                            code.indexOf(original, at + 1),
                            () -> file + ".java contains more than once: " + original);
                    code = code.replace(original, replacement);
                }
                compile.add(Files.writeString(directory.resolve(sourceFile.getFileName()), code)
                        .toString());
            }
        }
        assertEquals(0, ToolProvider.getSystemJavaCompiler().run(null, null, null, compile.toArray(new String[0])));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        directory + System.getProperty("path.separator") + classes,
                        "-XX:+UseSerialGC",
                        testRunner.getName(),
                        detectingTest)
                .redirectError(ProcessBuilder.Redirect.to(
                        directory.resolve("stderr.txt").toFile()))
                .start();
        Set<String> failed = new TreeSet<>();
        try (Stream<String> lines = process.inputReader().lines()) {
            lines.filter(line -> line.startsWith("FAILED ")).forEach(line -> failed.add(line.substring(7)));
        }
        int exitCode = process.waitFor();
        assertEquals(0, exitCode, Files.readString(directory.resolve("stderr.txt")));
        return failed;
    }
}
