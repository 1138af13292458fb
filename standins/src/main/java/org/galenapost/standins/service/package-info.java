/**
 * A plain service that echoes calls and counts how often each idempotency key ran. Control
 * endpoints delay or refuse calls, drop their responses or crash the process.
 */
package org.galenapost.standins.service;
