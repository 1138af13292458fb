package org.galenapost.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of call that the platform counts separately. */
public enum CallKind {
  /** Reads one object. */
  @JsonProperty("get")
  GET(false),
  /** Reads all objects of a kind. */
  @JsonProperty("list")
  LIST(false),
  /** Waits for changes. */
  @JsonProperty("watch")
  WATCH(false),
  /** Reads the list of hosts. */
  @JsonProperty("hosts")
  HOSTS(false),
  /** Writes an object. */
  @JsonProperty("put")
  PUT(true),
  /** Deletes an object. */
  @JsonProperty("delete")
  DELETE(true);

  private final boolean isWrite;

  CallKind(boolean isWrite) {
    this.isWrite = isWrite;
  }

  /** Returns whether the call counts against the rate limit of writes. */
  public boolean isWrite() {
    return isWrite;
  }
}
