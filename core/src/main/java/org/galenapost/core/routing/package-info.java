/**
 * Chooses a backend server for each request and estimates the load and health of each server. This
 * package depends on fleet, time and verdicts.
 */
package org.galenapost.core.routing;
