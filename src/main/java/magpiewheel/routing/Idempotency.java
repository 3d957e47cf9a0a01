package magpiewheel.routing;

/** What running a request twice does: nothing, nothing while its idempotency key is remembered, or harm. */
public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NOT_IDEMPOTENT
}
