package org.galenapost.daemon.operator;

import java.util.Map;
import java.util.Optional;

/**
 * A request on the operator port.
 *
 * @param pathParameters the decoded values of the variables in the path pattern
 * @param queryParameters the first value of each query parameter
 * @param body the body as text, empty if there is none
 */
public record OperatorRequest(
    Map<String, String> pathParameters, Map<String, String> queryParameters, String body) {

  /** Makes defensive copies of the parameters. */
  public OperatorRequest {
    pathParameters = Map.copyOf(pathParameters);
    queryParameters = Map.copyOf(queryParameters);
  }

  /**
   * Returns the value of a path variable.
   *
   * @throws IllegalArgumentException if the pattern has no such variable
   */
  public String path(String name) {
    String value = pathParameters.get(name);
    if (value == null) {
      throw new IllegalArgumentException("the path pattern has no variable '" + name + "'");
    }
    return value;
  }

  /** Returns the first value of a query parameter, or empty if the request has none. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(queryParameters.get(name));
  }
}
