package org.galenapost.core.dispatch;

/**
 * What one response of a server states about the rate of requests that the server takes from all
 * daemons together.
 *
 * @param kind whether the response names a limit
 * @param requestsPerS the limit in requests per second, 0 unless one is named
 */
public record RateStatement(Kind kind, double requestsPerS) {

  private static final RateStatement UNLIMITED = new RateStatement(Kind.UNLIMITED, 0);
  private static final RateStatement UNREADABLE = new RateStatement(Kind.UNREADABLE, 0);

  /** Checks that a limit is a finite number of at least 0. */
  public RateStatement {
    if (!Double.isFinite(requestsPerS) || requestsPerS < 0) {
      throw new IllegalArgumentException(
          "requestsPerS: expected a number of at least 0, but found " + requestsPerS);
    }
  }

  /** Whether a response names a limit. */
  public enum Kind {
    /** It names none. */
    UNLIMITED,
    /** It names one. */
    LIMITED,
    /** It names one that cannot be read, which changes nothing. */
    UNREADABLE
  }

  /** Returns the statement of a response that names no limit. */
  public static RateStatement unlimited() {
    return UNLIMITED;
  }

  /** Returns the statement of a response that names a limit. */
  public static RateStatement limitedTo(double requestsPerS) {
    return new RateStatement(Kind.LIMITED, requestsPerS);
  }

  /** Returns the statement of a response whose limit cannot be read. */
  public static RateStatement unreadable() {
    return UNREADABLE;
  }
}
