package org.galenapost.daemon.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import org.galenapost.core.verdict.Refusal;

/** Adds headers to the refusals of one request. */
@FunctionalInterface
interface RefusalHeaders {

  /** The refusals of a caller's request have no further headers. */
  RefusalHeaders NONE = (refusal, wasSent, headers) -> {};

  /**
   * Adds the headers of a refusal.
   *
   * @param refusal the refusal
   * @param wasSent whether the call was sent to a server
   * @param headers the headers of the response
   */
  void add(Refusal refusal, boolean wasSent, HttpHeaders headers);
}
