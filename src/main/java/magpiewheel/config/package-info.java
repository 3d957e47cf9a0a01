/**
 * The configuration of a router: the environment, the platform's JSON file and the application's JSON file, checked
 * with errors that name the key; reloading the platform's file on SIGHUP; and the {@code config} commands.
 */
package magpiewheel.config;
