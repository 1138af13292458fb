package org.galenapost.core.prompt;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.peer.PeerMessage;

/**
 * Tells the other daemons of the cell which prompts servers have read for the sender.
 *
 * @param reads the prompts, in the order in which they were read
 */
public record HeldPromptsNotice(List<PromptRead> reads) implements PeerMessage {

  /** Copies the prompts. */
  public HeldPromptsNotice {
    reads = List.copyOf(reads);
  }

  /**
   * A prompt that a server has read.
   *
   * @param server the server instance
   * @param parts the parts of the prompt, in their order
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record PromptRead(InstanceKey server, List<PromptPart> parts) {
    /** Checks that the server is present, and copies the parts. */
    public PromptRead {
      Objects.requireNonNull(server, "server");
      parts = List.copyOf(parts);
    }
  }
}
