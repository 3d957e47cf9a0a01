package magpiewheel.region;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether a parent hangs: it says nothing though the list says that it is fine. A front's overdue answer is a doubt; it
 * needs one confirmation, another front's overdue answer or a second one of the same, and any answer since refutes it.
 */
final class HangDetector {
    /** A doubt counts for so long. */
    private static final long SUSPICION_US = 2_000_000;
    /** A parent found to hang is not elected for so long, twice as long each time up to the most. */
    private static final long FIRST_EJECTION_US = 5_000_000;

    private static final long MAX_EJECTION_US = 80_000_000;

    private static final class Suspect {
        final Map<Integer, Long> silentSince = new HashMap<>();
        int mostOverdue;
        long reportedAt;
        long ejectedUntil;
        long ejectionUs;
    }

    private final Map<Long, Suspect> suspects = new HashMap<>();

    /** A front has overdue answers of a parent that has been silent to it for so long. True if that convicts it. */
    boolean suspected(long now, int router, long parent, long silentUs, int overdue) {
        Suspect suspect = suspects.computeIfAbsent(parent, id -> new Suspect());
        if (now - suspect.reportedAt > SUSPICION_US) {
            suspect.silentSince.clear();
            suspect.mostOverdue = 0;
        }
        suspect.reportedAt = now;
        suspect.silentSince.put(router, now - silentUs);
        suspect.mostOverdue = Math.max(suspect.mostOverdue, overdue);
        boolean confirmed = suspect.silentSince.size() > 1 || suspect.mostOverdue > 1;
        if (!confirmed || now < suspect.ejectedUntil) {
            return false;
        }
        suspect.ejectionUs = Math.min(MAX_EJECTION_US, Math.max(FIRST_EJECTION_US, 2 * suspect.ejectionUs));
        suspect.ejectedUntil = now + suspect.ejectionUs;
        return true;
    }

    /** A front got an answer of the parent so long ago: who was silent only since before that is no doubt any more. */
    void responded(long at, long parent) {
        Suspect suspect = suspects.get(parent);
        if (suspect != null) {
            suspect.silentSince.values().removeIf(since -> since < at);
            suspect.mostOverdue = suspect.silentSince.isEmpty() ? 0 : suspect.mostOverdue;
        }
    }

    /** Whether it was found to hang a while ago at most. */
    boolean isEjected(long now, long parent) {
        Suspect suspect = suspects.get(parent);
        return suspect != null && now < suspect.ejectedUntil;
    }
}
