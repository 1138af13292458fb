/**
 * The programs that run scripted scenarios and the demonstration. They start each program of the
 * system as a separate process. No other module depends on this one.
 */
package org.galenapost.scenarios;
