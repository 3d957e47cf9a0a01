/**
 * What a front is told at its start: the environment, the platform's JSON file and the application's, each checked with
 * errors that name the key; reading the file again on SIGHUP; and the {@code config} commands.
 */
package magpiewheel.config;
