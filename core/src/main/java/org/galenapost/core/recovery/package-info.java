/**
 * Recovery of generations after the loss of an attempt. The package decides when to start on
 * another server and when to fail, and limits concurrent resumes. It depends on profiles, time and
 * verdicts.
 */
package org.galenapost.core.recovery;
