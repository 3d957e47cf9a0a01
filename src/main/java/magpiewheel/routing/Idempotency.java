package magpiewheel.routing;

/** Whether a request may be executed twice: always, while its idempotency key is remembered, or never without harm. */
public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NOT_IDEMPOTENT
}
