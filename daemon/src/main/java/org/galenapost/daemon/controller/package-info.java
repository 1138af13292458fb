/**
 * Controllers: services that synchronize part of the daemon's state with the platform and the other
 * daemons. They combine the decision logic of {@code core} with the daemon's clients and timers.
 */
package org.galenapost.daemon.controller;
