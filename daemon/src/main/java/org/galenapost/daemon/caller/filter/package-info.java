/**
 * The filters of the caller port, one class each. They depend on the caller, caller.answer and
 * relay packages, on the packages for http, explain, lifecycle, log and metrics, and on core.
 */
package org.galenapost.daemon.caller.filter;
