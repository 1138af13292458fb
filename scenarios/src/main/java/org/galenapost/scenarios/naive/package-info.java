/**
 * Daemons in which one mechanism is replaced by a naive version, to show that a scenario fails
 * without the mechanism. Only scenarios start these daemons; no setting of the standard daemon
 * enables a naive version.
 */
package org.galenapost.scenarios.naive;
