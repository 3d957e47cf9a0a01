/** Mutation tests: a named test must fail when one place of the main sources is changed to a faulty version. */
package magpiewheel.mutation;
