package magpiewheel.region;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The input of the region assignment.
 *
 * @param hubByZone the hub of each zone
 * @param loads the load of each zone
 * @param homeSlots the slot on its hub that each zone announced last; -1 if there is none
 */
public record RegionTopology(int[] hubByZone, double[] loads, int[] homeSlots, List<Parent> parents) {
    /** Creates a topology in which no zone has a home slot yet. */
    RegionTopology(int[] hubByZone, double[] loads, List<Parent> parents) {
        this(hubByZone, loads, IntStream.generate(() -> -1).limit(loads.length).toArray(), parents);
    }

    /** Returns a digest of the input of the assignment that does not depend on the order of the parents. */
    public int digest() {
        long sum = DeterministicHash.of(
                DeterministicHash.of(Arrays.hashCode(hubByZone), Arrays.hashCode(loads)), Arrays.hashCode(homeSlots));
        for (Parent parent :
                parents.stream().sorted(Comparator.comparingLong(Parent::id)).toList()) {
            sum = DeterministicHash.of(
                    sum,
                    DeterministicHash.of(
                            parent.id(),
                            DeterministicHash.of(parent.hub(), Double.doubleToLongBits(parent.linkCapacity()))));
        }
        return (int) sum;
    }
}
