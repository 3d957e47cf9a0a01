/**
 * The program's entry point: {@link magpiewheel.Main} runs the commands and shuts the router down on SIGTERM,
 * {@code Startup} creates and connects the components of a router, and {@code WarmUp} sends simulated requests through
 * the real code, so that it is compiled before the router reports {@code UP}.
 */
package magpiewheel;
