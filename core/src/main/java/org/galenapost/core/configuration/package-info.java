/**
 * Configuration: validation and conditional writes of configuration objects, their replication to
 * every daemon, and the typed view that requests read. A daemon converges on the highest version of
 * each object and never returns to a lower one. This package depends on profiles, fleet, the
 * platform's object API and the peer bus.
 */
package org.galenapost.core.configuration;
