package magpiewheel.routing;

import magpiewheel.region.SlowStartProfile;

/**
 * Figures of the rules that no decision may break.
 *
 * @param drainNoticeUs how long after the notice of a drain an endpoint may still be sent something, us
 * @param purgeNoticeUs how long after the notice of a purge an older copy may still be asked for, us
 * @param purgeCompletionUs how long after a purge every cache has dropped its older copies, us
 * @param cacheSlowStart the load that a cache tolerates after its start
 * @param parentSlowStart the load that a parent tolerates after its start
 */
public record SafetyLimits(
        long drainNoticeUs,
        long purgeNoticeUs,
        long purgeCompletionUs,
        SlowStartProfile cacheSlowStart,
        SlowStartProfile parentSlowStart) {
    /** The time within which too much work overloads an endpoint, us; 0 where the settings do not say. */
    long overloadWindowUs() {
        return cacheSlowStart.overloadWindowUs();
    }

    /** The load that a parent, or else a cache, tolerates after its start. */
    SlowStartProfile slowStart(boolean parent) {
        return parent ? parentSlowStart : cacheSlowStart;
    }
}
