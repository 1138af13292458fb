package org.galenapost.daemon.gateway.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Objects;

/**
 * The failure of a send that got no complete response.
 *
 * @param cause the kind of failure
 * @param wasSent whether the request or a part of it was handed to a connection
 * @param detail a description of what was observed
 */
public record SendFailure(Cause cause, boolean wasSent, String detail) {

  /** Checks that every part is present. */
  public SendFailure {
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(detail, "detail");
  }

  /** The kind of failure. */
  public enum Cause {
    /** The host refused the connection. */
    REFUSED,
    /** The connection could not be opened for another reason, such as a timeout. */
    UNREACHABLE,
    /** The connection closed before the response was complete. */
    CLOSED,
    /** The server stopped responding, and a new connection was not accepted either. */
    SILENT,
    /** The server stopped responding, although its host accepts connections. */
    STUCK,
    /** The received bytes are not a valid response to this call. */
    MALFORMED;

    /** Returns the name used in logs and counters. */
    public String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Creates the failure of a send whose connection could not be opened. */
  public static SendFailure unreachable(Throwable error) {
    boolean isTimeout = error instanceof ConnectTimeoutException;
    boolean isRefused = error instanceof ConnectException && !isTimeout;
    return new SendFailure(
        isRefused ? Cause.REFUSED : Cause.UNREACHABLE, false, String.valueOf(error.getMessage()));
  }

  /** Creates the failure of a send whose connection closed before the response was complete. */
  public static SendFailure closed(String detail) {
    return new SendFailure(Cause.CLOSED, true, detail);
  }

  /** Creates the failure of a send whose server and host stopped responding. */
  public static SendFailure silent(String detail) {
    return new SendFailure(Cause.SILENT, true, detail);
  }

  /** Creates the failure of a send whose server stopped responding while its host is reachable. */
  public static SendFailure stuck(String detail) {
    return new SendFailure(Cause.STUCK, true, detail);
  }

  /** Creates the failure of a send whose response is not valid. */
  public static SendFailure malformed(String detail) {
    return new SendFailure(Cause.MALFORMED, true, detail);
  }

  /** Returns whether the server ended or was cut off while it may have run the call. */
  public boolean isServerCutOff() {
    return cause == Cause.SILENT;
  }

  /** Returns whether the failure suggests that the host is down or the link to it is cut. */
  public boolean suggestsLinkDown() {
    return cause == Cause.REFUSED || cause == Cause.UNREACHABLE || cause == Cause.SILENT;
  }

  /** Returns whether the failure suggests that the server is down. */
  public boolean suggestsServerDown() {
    return cause != Cause.MALFORMED;
  }
}
