/**
 * A stand-in for the platform that keeps everything in memory. It serves the object API, with
 * versions, conditional writes and watches, and the list of hosts. Requests to its fault routes
 * cause outages, delays, dropped responses and rate limits.
 */
package org.galenapost.standins.platform;
