/**
 * The model of a generation and its stream: requests, attempts, engine events, resume handles, and
 * the assembly of one answer from several attempts. The package depends on explanations, profiles
 * and verdicts.
 */
package org.galenapost.core.generation;
