package org.galenapost.core.retry;

/** The reason for a retry. Each reason has its own counter. */
public enum RetryReason {
  CONNECT_FAILED("connect-failed"),
  SERVER_BUSY("server-busy"),
  SERVER_ERROR("server-error"),
  SERVER_LOST("server-lost"),
  SERVER_SILENT("server-silent"),
  SERVER_LEAVING("server-leaving");

  private final String wireName;

  RetryReason(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name used in logs and metrics, such as {@code connect-failed}. */
  public String wireName() {
    return wireName;
  }
}
