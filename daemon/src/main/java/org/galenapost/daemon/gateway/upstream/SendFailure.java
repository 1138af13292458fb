package org.galenapost.daemon.gateway.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Objects;

/**
 * Says why a send got no complete answer.
 *
 * @param cause what happened
 * @param wasSent whether the request, or a part of it, was handed to a connection
 * @param detail what was seen
 */
public record SendFailure(Cause cause, boolean wasSent, String detail) {

  /** Checks that every part is present. */
  public SendFailure {
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(detail, "detail");
  }

  /** What happened. */
  public enum Cause {
    /** The host refused the connection. */
    REFUSED,
    /** The host did not answer the connection. */
    UNREACHABLE,
    /** The connection ended before the answer did. */
    CLOSED,
    /** The server answered nothing, and a new connection was not answered either. */
    SILENT,
    /** The bytes were no proper answer to this call. */
    MALFORMED;

    /** Returns the name used in logs and counters. */
    public String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Returns the failure of a call that was never handed to a connection. */
  public static SendFailure unreachable(Throwable error) {
    boolean isTimeout = error instanceof ConnectTimeoutException;
    boolean isRefused = error instanceof ConnectException && !isTimeout;
    return new SendFailure(
        isRefused ? Cause.REFUSED : Cause.UNREACHABLE, false, String.valueOf(error.getMessage()));
  }

  /** Returns the failure of a connection that ended in the middle. */
  public static SendFailure closed(String detail) {
    return new SendFailure(Cause.CLOSED, true, detail);
  }

  /** Returns the failure of a server that fell silent. */
  public static SendFailure silent(String detail) {
    return new SendFailure(Cause.SILENT, true, detail);
  }

  /** Returns the failure of an answer that cannot be used. */
  public static SendFailure malformed(String detail) {
    return new SendFailure(Cause.MALFORMED, true, detail);
  }

  /** Returns whether the failure means that the server itself may be gone. */
  public boolean suggestsServerDown() {
    return cause != Cause.MALFORMED;
  }
}
