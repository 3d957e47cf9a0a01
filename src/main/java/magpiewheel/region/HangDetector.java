package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects parents that hang: they are silent although discovery lists them as ready. A suspicion needs one
 * confirmation, by another router or by a second overdue response to the same router. Any response since then refutes
 * it.
 */
final class HangDetector {
    /** Suspicions of a parent are discarded this long after the last report. */
    private static final long SUSPICION_VALID_US = 2_000_000;
    /**
     * How long a hanging parent is excluded from elections; twice as long each time, up to {@link #MAX_EJECTION_US}.
     */
    private static final long MIN_EJECTION_US = 5_000_000;

    private static final long MAX_EJECTION_US = 80_000_000;

    private static final class Suspect {
        final Map<Integer, Long> silentSince = new HashMap<>();
        int maxOverdue;
        long reportedAt;
        long ejectedUntil;
        long ejectionUs;
    }

    private final Map<Long, Suspect> suspects = new HashMap<>();

    /**
     * Records that {@code overdue} responses of a parent to a router are overdue and that the parent has been silent
     * for {@code silentUs}. Returns whether this ejects the parent.
     */
    boolean addSuspicion(long now, int router, long parent, long silentUs, int overdue) {
        Suspect suspect = suspects.computeIfAbsent(parent, id -> new Suspect());
        if (now - suspect.reportedAt > SUSPICION_VALID_US) {
            suspect.silentSince.clear();
            suspect.maxOverdue = 0;
        }
        suspect.reportedAt = now;
        suspect.silentSince.put(router, now - silentUs);
        suspect.maxOverdue = Math.max(suspect.maxOverdue, overdue);
        boolean confirmed = suspect.silentSince.size() > 1 || suspect.maxOverdue > 1;
        if (!confirmed || now < suspect.ejectedUntil) {
            return false;
        }
        suspect.ejectionUs = Math.min(MAX_EJECTION_US, Math.max(MIN_EJECTION_US, 2 * suspect.ejectionUs));
        suspect.ejectedUntil = now + suspect.ejectionUs;
        return true;
    }

    /** Records a parent's response at a time. It refutes suspicions of a silence that began earlier. */
    void responded(long at, long parent) {
        Suspect suspect = suspects.get(parent);
        if (suspect != null) {
            suspect.silentSince.values().removeIf(since -> since < at);
            suspect.maxOverdue = suspect.silentSince.isEmpty() ? 0 : suspect.maxOverdue;
        }
    }

    /** Whether a parent is ejected now. */
    boolean isEjected(long now, long parent) {
        Suspect suspect = suspects.get(parent);
        return suspect != null && now < suspect.ejectedUntil;
    }
}
