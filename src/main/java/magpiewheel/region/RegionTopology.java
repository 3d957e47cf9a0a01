package magpiewheel.region;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * All that regions are made from; {@code hubByZone}, {@code loads} and {@code homeSlots} are by branch. A home is the
 * place on its hub that a branch had, as it told; -1 where it told none.
 */
public record RegionTopology(int[] hubByZone, double[] loads, int[] homeSlots, List<Parent> parents) {
    /** A shape of which nobody has a home yet. */
    RegionTopology(int[] hubByZone, double[] loads, List<Parent> parents) {
        this(hubByZone, loads, IntStream.generate(() -> -1).limit(loads.length).toArray(), parents);
    }

    /** Equal for shapes that give equal regions; the order in which parents were told is no part of it. */
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
