/**
 * The client of the platform's object API, based on AsyncHttpClient. Its errors distinguish calls
 * that had no effect from calls that may have had one. It depends on the platform interfaces of
 * core and on the daemon's settings, services and network utilities.
 */
package org.galenapost.daemon.platform;
