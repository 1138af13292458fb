package org.galenapost.core.dispatch;

import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.prompt.HeldPrompts;
import org.galenapost.core.route.EngineMemory;
import org.galenapost.core.route.TargetService;

/**
 * Expects an engine not to read again the beginning of a prompt that it holds. An engine whose
 * memory or slots are short is expected to read everything, since it evicts what it holds first.
 */
public final class HeldPromptSavings implements PromptSavings {

  private final HeldPrompts heldPrompts;

  /** Creates the estimate from the prompts that servers hold. */
  public HeldPromptSavings(HeldPrompts heldPrompts) {
    this.heldPrompts = heldPrompts;
  }

  @Override
  public double savedTokens(
      TargetService service, ServerInstance instance, CallDemand demand, ServerUse use) {
    if (demand.promptParts().isEmpty() || use.calls() >= instance.slots()) {
      return 0;
    }
    return service
        .engineMemory()
        .map(EngineMemory::tokens)
        .filter(tokens -> EngineWait.hasFreeMemory(tokens, use, demand))
        .map(
            tokens ->
                heldPrompts.expectedTokens(
                    instance.key(), demand.promptParts(), use.memoryTokens(), tokens))
        .map(saved -> Math.min(saved, demand.promptTokens()))
        .orElse(0.0);
  }
}
