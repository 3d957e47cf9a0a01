/** Helpers shared by the tests of several packages. */
package magpiewheel.support;
