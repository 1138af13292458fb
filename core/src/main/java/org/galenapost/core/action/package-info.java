/**
 * At-most-once execution of non-idempotent requests. A request is claimed in the platform's object
 * API before its first byte is sent. The package depends on verdicts and the platform's object API.
 */
package org.galenapost.core.action;
