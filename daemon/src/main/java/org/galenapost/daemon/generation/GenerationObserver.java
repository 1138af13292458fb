package org.galenapost.daemon.generation;

import java.time.Duration;
import org.galenapost.core.generation.AttemptEndReason;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.recovery.StartCause;

/** Is notified of events of generations, for metrics. */
public interface GenerationObserver {

  /** An observer that ignores everything. */
  GenerationObserver NONE = new GenerationObserver() {};

  /** Called when an attempt starts. */
  default void onStart(StartCause cause) {}

  /** Called when this daemon attaches to an attempt that is running on an engine. */
  default void onAttach() {}

  /** Called when an attempt is lost. */
  default void onLoss(LossReason reason) {}

  /** Called when an attempt is ended because one of its chunks does not match the stream state. */
  default void onInvalidChunk(AttemptEndReason reason) {}

  /** Called when a chunk of a fenced attempt is dropped. */
  default void onFencedChunk() {}

  /** Called when a server is probed because of a suspicious silence. */
  default void onProbe() {}

  /**
   * Called when a generation has resumed after a loss.
   *
   * @param silence the time that the reader waited for the next token
   */
  default void onResumed(Duration silence) {}

  /** Called when the text of a rerun differs from the delivered text. */
  default void onDiverged() {}
}
