/**
 * The parts that the caller listener and the operator listener share: binding, limits, timeouts and
 * problem documents. It depends on verdicts and services.
 */
package org.galenapost.daemon.http;
