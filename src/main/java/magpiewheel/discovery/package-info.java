/**
 * The client of the discovery service: it keeps a connection to the service, resumes after the last event received, and
 * passes each change of the endpoint list and each purge on to the engine.
 */
package magpiewheel.discovery;
