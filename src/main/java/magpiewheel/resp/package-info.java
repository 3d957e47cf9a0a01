/**
 * The RESP server for clients: the listening socket, an actor for each connection, validation of frames and fields, and
 * the connection drain before the process ends.
 */
package magpiewheel.resp;
