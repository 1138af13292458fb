package org.galenapost.core.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The resources in use on one server.
 *
 * @param calls the number of calls in flight
 * @param unreadTokens the prompt tokens of runs that have not produced an event yet
 * @param memoryTokens the memory that runs and copies occupy, in tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ServerUse(int calls, long unreadTokens, long memoryTokens) {

  /** No use. */
  public static final ServerUse NONE = new ServerUse(0, 0, 0);

  /** Returns the sum of two uses. */
  public ServerUse plus(ServerUse other) {
    return new ServerUse(
        calls + other.calls, unreadTokens + other.unreadTokens, memoryTokens + other.memoryTokens);
  }

  /** Returns the difference of two uses. */
  public ServerUse minus(ServerUse part) {
    return new ServerUse(
        calls - part.calls, unreadTokens - part.unreadTokens, memoryTokens - part.memoryTokens);
  }
}
