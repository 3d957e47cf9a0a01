import java.nio.file.Files;
import java.nio.file.Path;

/** A new version is started beside the old one, as the operators' pages have it, where DNS routing is on. */
public final class UpgradeWithDns {
    public static void main(String[] args) {
        Rig.main(args[0], UpgradeWithDns::run);
    }

    /** Without the disruption the same process is started with nothing beside it. */
    private static String run(Rig rig, boolean trouble) throws Exception {
        Rig.World world = new Rig.World();
        Rig.Node[] nodes = {
            rig.node(1, "east", "small-box", world),
            rig.node(2, "east", "small-box", world),
            rig.node(0x20, "central", "parent", world),
            rig.node(0x30, "central", "origin", world)
        };
        Rig.Settings settings = new Rig.Settings();
        settings.members = rig.board().member();
        Path config = rig.folder.resolve("n0.json");
        Path app = rig.folder.resolve("app.json");
        Rig.Platform platform = rig.platform();
        Files.writeString(config, settings.config(Rig.known(nodes))
                .replace("@LISTEN@", "127.0.0.1:" + platform.address.getPort()));
        Files.writeString(app, "{\"application\":\"careers\",\"dns\":{\"enabled\":true,\"listen\":\"127.0.0.1:"
                + Rig.freePort() + "\",\"zone\":\"routes.example\"}}");
        rig.say("app " + Files.readString(app));
        if (trouble) {
            Rig.Running old = platform.start("n0", config, app, "127.0.0.1:" + Rig.freePort());
            if (!old.awaitYes(30_000)) {
                throw new Rig.NotRun("the old version did not start");
            }
            rig.say("the old version serves");
            Rig.sleep(2_000);
        }
        Rig.Running next = platform.start("n0", config, app, "127.0.0.1:" + Rig.freePort());
        // The page allows 6 s; a start that is only slow is no crash.
        boolean yes = next.awaitYes(30_000);
        rig.say("the new version says yes=" + yes + " alive=" + next.alive());
        if (yes) {
            return null;
        }
        if (next.alive()) {
            throw new Rig.NotRun("the new version neither ended nor said yes within 30 s");
        }
        return "the new process ended before it said yes";
    }
}
