package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether a parent hangs: it is silent though discovery lists it as ready. A suspicion needs one confirmation, by
 * another router or a second overdue response of the same, and any response since refutes it.
 */
final class HangDetector {
    /** How long a suspicion counts. */
    private static final long SUSPICION_US = 2_000_000;
    /** How long a parent that hangs is not elected; twice as long each time, up to the longest. */
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

    /** Responses of a parent to a router are overdue, the first for so long; returns whether it is ejected now. */
    boolean addSuspicion(long now, int router, long parent, long silentUs, int overdue) {
        Suspect suspect = suspects.computeIfAbsent(parent, id -> new Suspect());
        if (now - suspect.reportedAt > SUSPICION_US) {
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

    /** A parent responded at a time: suspicions of a silence that began before are refuted. */
    void responded(long at, long parent) {
        Suspect suspect = suspects.get(parent);
        if (suspect != null) {
            suspect.silentSince.values().removeIf(since -> since < at);
            suspect.maxOverdue = suspect.silentSince.isEmpty() ? 0 : suspect.maxOverdue;
        }
    }

    /** Whether it is ejected. */
    boolean isEjected(long now, long parent) {
        Suspect suspect = suspects.get(parent);
        return suspect != null && now < suspect.ejectedUntil;
    }
}
