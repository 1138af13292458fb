package org.galenapost.daemon.http;

import java.time.Duration;

/**
 * The limits and timeouts of an HTTP listener.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxHeaderBytes the maximum length of the request line, and of the header block
 * @param maxBodyBytes the maximum length of a request body
 * @param idleTimeout the longest time to a complete request head, from the start of the connection
 *     or the last response
 * @param bodyTimeout the longest time from a request head to the end of its body
 * @param slowReaderTimeout the longest time that a connection may stay blocked because its caller
 *     does not read
 */
public record ListenerOptions(
    int maxConnections,
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration idleTimeout,
    Duration bodyTimeout,
    Duration slowReaderTimeout) {}
