package org.galenapost.standins.service;

/**
 * The response body of a call: it repeats the request.
 *
 * @param method the HTTP method of the request
 * @param path the path of the request
 * @param body the body of the request
 * @param idempotencyKey the idempotency key, or null if the request has none
 * @param attempt the attempt id from the {@code Galenapost-Attempt} header, or null
 * @param run the number of runs under this idempotency key, including this one
 */
public record Echo(
    String method, String path, String body, String idempotencyKey, String attempt, long run) {}
