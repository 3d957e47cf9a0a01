package magpiewheel.membership;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Rings in which members observe their neighbours. All members compute the same rings, so equal views give equal
 * neighbours.
 */
final class ObserverRings {
    /**
     * Number of rings: with two, a member has four neighbours, and an update reaches 1,000 members in about seven
     * steps.
     */
    static final int RINGS = 2;
    /** Maximum number of silent members skipped in one direction. */
    private static final int MAX_LOOKAHEAD = 8;

    private final int[][] rings = new int[RINGS][];
    private final int[][] positions = new int[RINGS][];

    ObserverRings(int memberCount) {
        for (int ring = 0; ring < RINGS; ring++) {
            int salt = ring;
            rings[ring] = IntStream.range(0, memberCount)
                    .boxed()
                    .sorted(Comparator.comparingLong((Integer member) -> mix(member, salt))
                            .thenComparing(member -> member))
                    .mapToInt(Integer::intValue)
                    .toArray();
            positions[ring] = new int[memberCount];
            for (int i = 0; i < memberCount; i++) {
                positions[ring][rings[ring][i]] = i;
            }
        }
    }

    /** Returns a well-mixed 64-bit hash of two numbers. */
    static long mix(long first, long second) {
        long z = first * 0x9e3779b97f4a7c15L + (second + 1) * 0xd1b54a32d192ed03L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /**
     * Returns the neighbours of a member among those in the rings: the next one in each direction. If that is silent,
     * those behind it are included until as many responding members as silent ones are found, so that a row of dead
     * members is crossed in few steps.
     */
    Set<Integer> observersOf(int member, IntPredicate isInRing, IntPredicate isSilent) {
        Set<Integer> found = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS; ring++) {
            walk(ring, member, 1, isInRing, isSilent, found);
            walk(ring, member, -1, isInRing, isSilent, found);
        }
        return found;
    }

    private void walk(
            int ring, int member, int step, IntPredicate isInRing, IntPredicate isSilent, Set<Integer> found) {
        int memberCount = rings[ring].length;
        int silentMembers = 0;
        int respondingMembers = 0;
        for (int i = 1;
                i < memberCount
                        && silentMembers <= MAX_LOOKAHEAD
                        && respondingMembers < Math.max(1, Math.min(MAX_LOOKAHEAD, silentMembers));
                i++) {
            int next = rings[ring][Math.floorMod(positions[ring][member] + step * i, memberCount)];
            if (isInRing.test(next)) {
                found.add(next);
                if (isSilent.test(next)) {
                    silentMembers++;
                } else {
                    respondingMembers++;
                }
            }
        }
    }
}
