package org.galenapost.core.dispatch;

import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.route.TargetService;

/** Estimates how much of a call's prompt a server need not read again. */
@FunctionalInterface
public interface PromptSavings {

  /** Expects no savings. */
  PromptSavings NONE = (service, instance, demand, use) -> 0;

  /**
   * Returns the prompt tokens that a server is expected not to read again, from 0 to those of the
   * prompt.
   *
   * @param service the service
   * @param instance the server
   * @param demand the resources that the call needs
   * @param use the present use of the server
   */
  double savedTokens(
      TargetService service, ServerInstance instance, CallDemand demand, ServerUse use);
}
