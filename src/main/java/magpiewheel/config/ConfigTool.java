package magpiewheel.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** The commands {@code config write APP} and {@code config check FILE}. */
public final class ConfigTool {
    private static final int WRONG = 2;

    private ConfigTool() {}

    /** Runs one of them; the exit code is 0, or 2 where something is wrong. */
    public static int run(String[] args) {
        String verb = args.length == 3 ? args[1] : "";
        try {
            switch (verb) {
                case "write" -> System.out.println("wrote " + AppConfig.write(args[2], Path.of("")));
                case "check" -> {
                    List<String> wrong = AppConfig.check(Path.of(args[2]));
                    wrong.forEach(System.err::println);
                    if (!wrong.isEmpty()) {
                        return WRONG;
                    }
                    System.out.println(args[2] + " is in order");
                }
                default -> {
                    System.err.println("usage: magpiewheel.jar config write APP | config check FILE");
                    return WRONG;
                }
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("magpiewheel: " + e.getMessage());
            return WRONG;
        }
        return 0;
    }
}
