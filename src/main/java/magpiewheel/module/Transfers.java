package magpiewheel.module;

import java.util.List;
import magpiewheel.module.Director.Profile;
import magpiewheel.module.Director.Request;

/** How long transfers take: that of a request where its size is told, else the mean of its class. It only counts. */
final class Transfers {
    private static final double SECOND_US = 1e6;
    private final List<Profile> profiles;
    private final double flowKbPerS;
    private final Ewma[] mean;

    /** For classes at a client's pace (0 where that is not told); means move by this weight. */
    Transfers(List<Profile> profiles, double flowKbPerS, double weight) {
        this.profiles = profiles;
        this.flowKbPerS = flowKbPerS;
        mean = new Ewma[profiles.size()];
        for (int i = 0; i < mean.length; i++) {
            mean[i] = new Ewma(weight);
        }
    }

    /** Whether the request's own size tells how long its transfer takes. */
    boolean sized(Request request) {
        return request.kbytes() > 0 && flowKbPerS > 0;
    }

    /** Whether anything of a class was seen. */
    boolean heard(int profile) {
        return mean[profile].heard();
    }

    void add(int profile, double us) {
        mean[profile].add(us);
    }

    /** Mean sending time of a class, us; before anything was seen its aim, which is longer. */
    double workUs(int profile) {
        return mean[profile].or(profiles.get(profile).aimUs());
    }

    /** The longest mean of the classes that read. */
    double longestReadUs() {
        double longest = 0;
        for (int i = 0; i < mean.length; i++) {
            longest = profiles.get(i).write() ? longest : Math.max(longest, workUs(i));
        }
        return longest;
    }

    /** Sending time of this very request where its size is told, else its class's mean, us. */
    double ownUs(Request request) {
        return sized(request) ? request.kbytes() / flowKbPerS * SECOND_US : workUs(request.profile());
    }
}
