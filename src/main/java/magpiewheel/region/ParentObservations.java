package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/** What this router measured of one parent. */
final class ParentObservations {
    /** Weight of the newest response, and how long averages are remembered without one. */
    private static final double WEIGHT = 0.1;

    private static final long FORGET_US = 5_000_000;
    /** How long an overdue response counts as a suspicion: without requests there are no responses. */
    private static final long SUSPICION_US = 2_000_000;

    private static final long WINDOW_US = 500_000;
    private static final int MAX_SAMPLES = 255;
    private static final int MAX_OBJECTS = 512;
    private double firstByteUs;
    private double failureRatio;
    private double hitRatio;
    private double freeCapacity = 1;
    private int samples;
    private long respondedAt = Long.MIN_VALUE / 2;
    private long suspectedSince;
    private int overdue;
    private long overdueAt;
    // What was sent there, by windows.
    private long windowAt;
    private double sentInWindow;
    private Map<Long, Double> byObject = new HashMap<>();
    private double sentPerS;
    private long hotObject;
    private double hotPerS;

    /** A response came, or a fill failed. */
    void responded(long now, long tookUs, boolean ok, boolean hit) {
        if (now - respondedAt > FORGET_US) {
            samples = 0;
        }
        samples = Math.min(MAX_SAMPLES, samples + 1);
        double weight = Math.max(WEIGHT, 1.0 / samples);
        failureRatio += ((ok ? 0 : 1) - failureRatio) * weight;
        if (ok) {
            firstByteUs += (tookUs - firstByteUs) * weight;
            hitRatio += ((hit ? 1 : 0) - hitRatio) * weight;
        }
        respondedAt = now;
        overdue = 0;
    }

    /** The response to a request of a time is overdue; a suspicion if nothing came since. */
    void responseOverdue(long now, long sentAt) {
        if (respondedAt >= sentAt) {
            return;
        }
        if (suspicions(now) == 0) {
            overdue = 0;
            suspectedSince = sentAt;
        }
        overdue++;
        overdueAt = now;
    }

    /** Sets the part of its link that is free. */
    void setFreeCapacity(double free) {
        freeCapacity = free;
    }

    void fillSent(long now, long object, double amount) {
        rotateWindow(now);
        sentInWindow += amount;
        if (byObject.size() < MAX_OBJECTS || byObject.containsKey(object)) {
            byObject.merge(object, amount, Double::sum);
        }
    }

    private void rotateWindow(long now) {
        if (now - windowAt < WINDOW_US) {
            return;
        }
        double perS = now - windowAt < 2 * WINDOW_US ? 1e6 / (now - windowAt) : 0;
        sentPerS = sentInWindow * perS;
        Map.Entry<Long, Double> most =
                byObject.entrySet().stream().max(Map.Entry.comparingByValue()).orElse(null);
        hotObject = most == null || perS == 0 ? 0 : most.getKey();
        hotPerS = most == null ? 0 : most.getValue() * perS;
        windowAt = now;
        sentInWindow = 0;
        byObject = new HashMap<>();
    }

    /** Responses that were overdue lately, with nothing heard since; 0 for none. */
    int suspicions(long now) {
        return now - overdueAt < SUSPICION_US ? overdue : 0;
    }

    long silentUs(long now) {
        return suspicions(now) == 0 ? 0 : Math.max(1, now - suspectedSince);
    }

    double sentPerS(long now) {
        rotateWindow(now);
        return sentPerS;
    }

    /** The ratio of fills that it did not hold; 1 where nothing was measured lately. */
    double missRatio(long now) {
        return samples == 0 || now - respondedAt > FORGET_US ? 1 : 1 - hitRatio;
    }

    long hotObject() {
        return hotObject;
    }

    double hotPerS() {
        return hotPerS;
    }

    RegionMessage.ParentReport report(long now, long parent) {
        int heard = now - respondedAt > FORGET_US ? 0 : samples;
        return new RegionMessage.ParentReport(
                parent,
                (long) firstByteUs,
                failureRatio,
                freeCapacity,
                hitRatio,
                heard,
                silentUs(now),
                now - respondedAt);
    }
}
