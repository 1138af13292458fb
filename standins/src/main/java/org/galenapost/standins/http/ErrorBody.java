package org.galenapost.standins.http;

/**
 * The JSON body of an error response.
 *
 * @param error the error message
 */
public record ErrorBody(String error) {}
