package org.galenapost.core.order;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The action of an order. */
public enum OrderAction {
  @JsonProperty("load-model")
  LOAD_MODEL,
  @JsonProperty("unload-model")
  UNLOAD_MODEL,
  @JsonProperty("load-adapter")
  LOAD_ADAPTER,
  @JsonProperty("change-role")
  CHANGE_ROLE
}
