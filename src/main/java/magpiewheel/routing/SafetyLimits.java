package magpiewheel.routing;

import magpiewheel.region.SlowStartProfile;

/**
 * Limits that no routing decision may violate.
 *
 * @param drainNoticeUs the time after the notice of a drain during which the endpoint may still receive attempts
 * @param purgeNoticeUs the time after the notice of a purge during which older copies may still be requested
 * @param purgeCompletionUs the time after a purge by which every cache has dropped its older copies
 * @param cacheSlowStart the load that a cache tolerates after its start
 * @param parentSlowStart the load that a parent tolerates after its start
 */
public record SafetyLimits(
        long drainNoticeUs,
        long purgeNoticeUs,
        long purgeCompletionUs,
        SlowStartProfile cacheSlowStart,
        SlowStartProfile parentSlowStart) {
    /** Returns the window over which work is summed to detect overload, us; 0 where the settings do not specify it. */
    long overloadWindowUs() {
        return cacheSlowStart.overloadWindowUs();
    }

    /** Returns the slow-start profile of parents or of caches. */
    SlowStartProfile slowStart(boolean parent) {
        return parent ? parentSlowStart : cacheSlowStart;
    }
}
