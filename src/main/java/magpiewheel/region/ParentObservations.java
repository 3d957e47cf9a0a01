package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/** The measurements of one parent by this router. */
final class ParentObservations {
    /** Smallest weight of a new response in the averages. */
    private static final double MIN_SAMPLE_WEIGHT = 0.1;

    /** The averages are discarded after this time without a response. */
    private static final long RESPONSE_VALID_US = 5_000_000;
    /** How long an overdue response counts as a suspicion: without requests no response can refute it. */
    private static final long OVERDUE_VALID_US = 2_000_000;

    /** Window in which the load sent to the parent is measured. */
    private static final long WINDOW_US = 500_000;

    private static final int MAX_SAMPLES = 255;
    /** Maximum number of objects whose load is counted in a window. */
    private static final int MAX_OBJECTS = 512;

    private double firstByteUs;
    private double failureRatio;
    private double hitRatio;
    private double freeLinkShare = 1;
    private int samples;
    private long respondedAt = Long.MIN_VALUE / 2;
    private long silentSince;
    private int overdue;
    private long overdueAt;
    // Load sent to the parent, measured in windows.
    private long windowAt;
    private double sentInWindow;
    private Map<Long, Double> sentByObject = new HashMap<>();
    private double sentPerS;
    private long hotObject;
    private double hotSentPerS;

    /** Records a response, or the failure of a fill. */
    void responded(long now, long firstByteTimeUs, boolean succeeded, boolean hit) {
        if (now - respondedAt > RESPONSE_VALID_US) {
            samples = 0;
        }
        samples = Math.min(MAX_SAMPLES, samples + 1);
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
        failureRatio += ((succeeded ? 0 : 1) - failureRatio) * weight;
        if (succeeded) {
            firstByteUs += (firstByteTimeUs - firstByteUs) * weight;
            hitRatio += ((hit ? 1 : 0) - hitRatio) * weight;
        }
        respondedAt = now;
        overdue = 0;
    }

    /**
     * Records that the response to a request sent at {@code sentAt} is overdue. It counts as a suspicion if the parent
     * has not responded since.
     */
    void responseOverdue(long now, long sentAt) {
        if (respondedAt >= sentAt) {
            return;
        }
        if (overdueResponses(now) == 0) {
            overdue = 0;
            silentSince = sentAt;
        }
        overdue++;
        overdueAt = now;
    }

    /** Sets the share of its link that is free. */
    void setFreeLinkShare(double share) {
        freeLinkShare = share;
    }

    /** Records a fill sent to the parent: the transfers that its link carries for the object. */
    void fillSent(long now, long object, double transfers) {
        rotateWindow(now);
        sentInWindow += transfers;
        if (sentByObject.size() < MAX_OBJECTS || sentByObject.containsKey(object)) {
            sentByObject.merge(object, transfers, Double::sum);
        }
    }

    private void rotateWindow(long now) {
        if (now - windowAt < WINDOW_US) {
            return;
        }
        double windowsPerS = now - windowAt < 2 * WINDOW_US ? 1e6 / (now - windowAt) : 0;
        sentPerS = sentInWindow * windowsPerS;
        Map.Entry<Long, Double> mostSent = sentByObject.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElse(null);
        hotObject = mostSent == null || windowsPerS == 0 ? 0 : mostSent.getKey();
        hotSentPerS = mostSent == null ? 0 : mostSent.getValue() * windowsPerS;
        windowAt = now;
        sentInWindow = 0;
        sentByObject = new HashMap<>();
    }

    /** Returns the number of responses that were overdue recently, with no response since; 0 if there are none. */
    int overdueResponses(long now) {
        return now - overdueAt < OVERDUE_VALID_US ? overdue : 0;
    }

    /** Returns how long the parent has been silent while responses are overdue; 0 if none is overdue. */
    long silentUs(long now) {
        return overdueResponses(now) == 0 ? 0 : Math.max(1, now - silentSince);
    }

    /** Returns the transfers per second sent to the parent in the last complete window. */
    double sentPerS(long now) {
        rotateWindow(now);
        return sentPerS;
    }

    /** Returns the ratio of fills that missed at the parent; 1 if nothing was measured recently. */
    double missRatio(long now) {
        return samples == 0 || now - respondedAt > RESPONSE_VALID_US ? 1 : 1 - hitRatio;
    }

    /** Returns the object with the most transfers in that window; 0 if there is none. */
    long hotObject() {
        return hotObject;
    }

    /** Returns the transfers per second of that object. */
    double hotSentPerS() {
        return hotSentPerS;
    }

    /** Returns these measurements as a report for a vote. */
    RegionMessage.ParentReport report(long now, long parent) {
        int recentSamples = now - respondedAt > RESPONSE_VALID_US ? 0 : samples;
        return new RegionMessage.ParentReport(
                parent,
                (long) firstByteUs,
                failureRatio,
                freeLinkShare,
                hitRatio,
                recentSamples,
                silentUs(now),
                now - respondedAt);
    }
}
