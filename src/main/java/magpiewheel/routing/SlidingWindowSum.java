package magpiewheel.routing;

import java.util.ArrayDeque;

/** The sum of the amounts that were added within a sliding time window. */
final class SlidingWindowSum {
    private record Entry(long at, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final long windowUs;
    private double sum;

    SlidingWindowSum(long windowUs) {
        this.windowUs = windowUs;
    }

    void add(long now, double amount) {
        expire(now);
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    double at(long now) {
        expire(now);
        return sum;
    }

    private void expire(long now) {
        while (!entries.isEmpty() && entries.peekFirst().at() <= now - windowUs) {
            sum -= entries.pollFirst().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
