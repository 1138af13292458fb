package org.galenapost.core.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.peer.PeerMessage;

/**
 * Reports the sender's use of all servers to the other daemons. The entries are encoded as arrays,
 * since these are by far the most frequent messages between daemons.
 *
 * @param uses the uses, one for each server in use by the sender
 */
public record UseReport(List<InstanceUse> uses) implements PeerMessage {

  /** Copies the uses. */
  public UseReport {
    uses = List.copyOf(uses);
  }

  /**
   * The sender's use of one server.
   *
   * @param instance the key of the server instance as text
   * @param use the resources in use
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record InstanceUse(String instance, ServerUse use) {
    /** Checks that both parts are present. */
    public InstanceUse {
      Objects.requireNonNull(instance, "instance");
      Objects.requireNonNull(use, "use");
    }
  }
}
