package org.galenapost.daemon.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import org.galenapost.core.verdict.Refusal;

/** Adds headers to the refusals of one request. */
@FunctionalInterface
interface RefusalHeaders {

  /** The refusals of a caller's request have no further headers. */
  RefusalHeaders NONE = (refusal, headers) -> {};

  /** Adds the headers of a refusal. */
  void add(Refusal refusal, HttpHeaders headers);
}
