/**
 * The life of one call: from the first send to the answer, over any number of servers. Everything
 * here runs on one event loop.
 */
package org.galenapost.daemon.gateway.run;
