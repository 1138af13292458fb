/**
 * TLS for the caller listener, from PEM files. It depends on settings, services, logs, the HTTP
 * pipeline and core's scheduler.
 */
package org.galenapost.daemon.tls;
