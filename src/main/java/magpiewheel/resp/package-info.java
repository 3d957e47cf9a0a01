/**
 * The front for clients in RESP: the listener, an actor for each connection, the checks of frames and fields, and how
 * clients are sent away before the process ends.
 */
package magpiewheel.resp;
