package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * The time that servers are expected to need for the rest of a call.
 *
 * @param untilFirstEvent the time from a send to the next event of a stream, or to the answer
 * @param afterFirstEvent the time from then to the end of the call
 */
public record WorkLeft(Duration untilFirstEvent, Duration afterFirstEvent) {

  /** The work of a call of which nothing is known yet. */
  public static final WorkLeft UNKNOWN = new WorkLeft(Duration.ZERO, Duration.ZERO);

  /** Checks that both parts are present. */
  public WorkLeft {
    Objects.requireNonNull(untilFirstEvent, "untilFirstEvent");
    Objects.requireNonNull(afterFirstEvent, "afterFirstEvent");
  }

  /** Returns the time from a send to the end of the call. */
  public Duration total() {
    return untilFirstEvent.plus(afterFirstEvent);
  }
}
