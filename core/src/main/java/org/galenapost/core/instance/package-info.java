/**
 * The running servers behind the gateway, one entry for each start of a server. It depends on the
 * configuration package, from which it hears of entries, and on time.
 */
package org.galenapost.core.instance;
