/**
 * Runs scenarios: executes the steps, checks the expectations and reports the results. Only the
 * programs of this module depend on it.
 */
package org.galenapost.scenarios.run;
