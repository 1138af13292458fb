package org.galenapost.core.prompt;

import java.util.List;
import org.galenapost.core.instance.InstanceKey;

/** Is notified when a server has read a prompt for this daemon. */
@FunctionalInterface
public interface PromptReadListener {

  /** Ignores all prompts. */
  PromptReadListener NONE = (server, parts) -> {};

  /**
   * Handles a prompt that a server has read.
   *
   * @param server the server instance
   * @param parts the parts of the prompt, in their order
   */
  void onPromptRead(InstanceKey server, List<PromptPart> parts);
}
