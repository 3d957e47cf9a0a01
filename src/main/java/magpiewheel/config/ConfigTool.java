package magpiewheel.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The commands {@code config write APP} and {@code config check FILE}. */
public final class ConfigTool {
    private static final int EXIT_INVALID = 2;

    private ConfigTool() {}

    /** Runs the command and returns the exit code: 0 on success, 2 on a usage error or an invalid configuration. */
    public static int run(String[] args) {
        String command = args.length == 3 ? args[1] : "";
        try {
            switch (command) {
                case "write" -> System.out.println("wrote " + AppConfig.write(args[2], Path.of("")));
                case "check" -> {
                    List<String> errors = AppConfig.check(Path.of(args[2]));
                    errors.forEach(System.err::println);
                    if (!errors.isEmpty()) {
                        return EXIT_INVALID;
                    }
                    System.out.println(args[2] + " is valid");
                }
                default -> {
                    System.err.println("usage: magpiewheel.jar config write APP | config check FILE");
                    return EXIT_INVALID;
                }
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("magpiewheel: " + e.getMessage());
            return EXIT_INVALID;
        }
        return 0;
    }
}
