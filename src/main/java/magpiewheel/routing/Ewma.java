package magpiewheel.routing;

/** An exponentially weighted moving average that starts as the plain mean of the first samples. */
final class Ewma {
    private final double weight;
    private double value;
    private int samples;

    Ewma(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        samples = Math.min(samples + 1, Integer.MAX_VALUE - 1);
        value += (sample - value) * Math.max(weight, 1.0 / samples);
    }

    boolean hasSamples() {
        return samples > 0;
    }

    /** Returns the average, or the fallback before the first sample. */
    double or(double fallback) {
        return samples > 0 ? value : fallback;
    }

    void forget() {
        samples = 0;
        value = 0;
    }
}
