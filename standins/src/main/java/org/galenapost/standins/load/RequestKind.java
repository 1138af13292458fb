package org.galenapost.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of a request. */
public enum RequestKind {
  /** A streamed generation. */
  @JsonProperty("generation")
  GENERATION,
  /** An idempotent call to a plain service. */
  @JsonProperty("lookup")
  LOOKUP,
  /** A call to a plain service that must run at most once. */
  @JsonProperty("action")
  ACTION
}
