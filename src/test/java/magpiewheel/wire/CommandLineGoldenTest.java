package magpiewheel.wire;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What operators' scripts rely on: the written configuration, exit codes and the one line of each error. */
public class CommandLineGoldenTest {
    private static final String WRITTEN = """
            {
              "application": "careers",
              "front": {
                "clients": 349,
                "node_connections": 341,
                "buffers": 12000
              },
              "fleet": {
                "beat_ms": 0,
                "refusals": false,
                "regions": false,
                "origin_transfers": 0
              },
              "pins": {
                "enabled": false
              },
              "dns": {
                "enabled": false,
                "listen": "127.0.0.1:5353",
                "zone": "routes.example"
              },
              "flows": {
                "enabled": false,
                "collector": "udp:127.0.0.1:4739",
                "domain": 1,
                "template_ms": 30000,
                "enterprise": 32473,
                "mtu": 1420,
                "store": 8192,
                "drain_per_s": 2000,
                "interval_ms": 5000
              }
            }
            """;

    /** The keys, their order and their presets. */
    @Test
    public void aWrittenConfigurationHasTheseKeysAndPresets() throws Exception {
        try (Fleet fleet = new Fleet()) {
            assertEquals(fleet.run(Map.of(), "config", "write", "careers").waitFor(), 0);
            assertEquals(Files.readString(fleet.folder().resolve("careers.json")), WRITTEN);
        }
    }

    @DataProvider
    Object[][] environments() {
        return new Object[][] {
            {"no configuration", Map.of(), "{}", "2 magpiewheel: GW_CONFIG: expected the name of a file"},
            {
                "a file that is not there",
                Map.of("GW_CONFIG", "absent.json"),
                "{}",
                "2 magpiewheel: GW_CONFIG: expected a file that can be read, got absent.json"
            },
            {
                "no JSON",
                Map.of(),
                "{",
                "2 magpiewheel: GW_CONFIG: expected JSON: End of input at line 1 column 2 path $."
            },
            {"no class", Map.of(), "{\"settings\":{}}", "2 magpiewheel: settings.profiles: expected at least one class"
            },
            {
                "a bad address to listen at",
                Map.of("GW_LISTEN", "here"),
                null,
                "2 magpiewheel: listen: expected an IPv4 address and a port, got here"
            },
            {
                "a bad admin address",
                Map.of("GW_MGMT", "127.0.0.1"),
                null,
                "2 magpiewheel: GW_MGMT: expected an IPv4 address and a port, got 127.0.0.1"
            },
            {
                "a descriptor other than 0",
                Map.of("GW_SOCKET_FD", "3"),
                null,
                "2 magpiewheel: GW_SOCKET_FD: expected 0, got 3"
            }
        };
    }

    /** Exit code 2 and one line that names the key. */
    @Test(dataProvider = "environments")
    public void aConfigurationThatCannotBeUsedIsNamedInOneLine(
            String what, Map<String, String> env, String config, String line) throws Exception {
        try (Fleet fleet = new Fleet()) {
            String text = config == null ? Fleet.config("127.0.0.1:0", 0, 1, "") : config;
            Map<String, String> all = new HashMap<>(env);
            if (!what.equals("no configuration")) {
                all.putIfAbsent("GW_CONFIG", fleet.file("front.json", text).toString());
            }
            all.put("MAGPIEWHEEL_APP", fleet.file("app.json", "{}").toString());
            Process process = fleet.run(all, "serve");
            String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(process.waitFor() + " " + said.strip(), line);
        }
    }

    @DataProvider
    Object[][] calls() {
        return new Object[][] {
            {
                "",
                "2 usage: magpiewheel.jar serve | adapter | config write APP | config check FILE\n"
                        + "       magpiewheel.jar flows collect ADDRESS"
            },
            {"config", "2 usage: magpiewheel.jar config write APP | config check FILE"},
            {"config check absent.json", "2 absent.json: expected a file that can be read"},
            {
                "flows collect nowhere",
                "2 ADDRESS: expected an IPv4 address and a port, got nowhere\n"
                        + "Usage: collect [-hV] [--sums] [--enterprise=<enterprise>]\n"
                        + "               [--messages=<messages>] ADDRESS\n"
                        + "Listens for IPFIX over UDP and TCP; prints each record as a line of JSON, and\n"
                        + "sums at the end.\n"
                        + "      ADDRESS     IPv4 address and port to listen at, as 127.0.0.1:4739\n"
                        + "      --enterprise=<enterprise>\n"
                        + "                  number of the fronts' own elements (32473)\n"
                        + "  -h, --help      Show this help message and exit.\n" + "      --messages=<messages>\n"
                        + "                  end after so many messages; 0 goes on until SIGTERM\n"
                        + "      --sums      print no records, only the sums\n"
                        + "  -V, --version   Print version information and exit."
            },
            {"adapter now", "2 usage: magpiewheel.jar adapter"}
        };
    }

    /** Exit code 2, and how the program is called. */
    @Test(dataProvider = "calls")
    public void aWrongCallHasExitCodeTwo(String words, String said) throws Exception {
        try (Fleet fleet = new Fleet()) {
            Process process = fleet.run(Map.of(), words.isEmpty() ? new String[0] : words.split(" "));
            String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(process.waitFor() + " " + errors.strip(), said);
        }
    }
}
