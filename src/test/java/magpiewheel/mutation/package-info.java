/** Deliberate mistakes: a change to one place of the sources, compiled apart, that a named test has to notice. */
package magpiewheel.mutation;
