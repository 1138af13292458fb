/**
 * Where streams began: the service and the software version that a stream has to go on at. Daemons
 * tell a few others of each stream that began, and ask them when a caller resumes one. The package
 * depends on messages between daemons, hashing and time.
 */
package org.galenapost.core.origin;
