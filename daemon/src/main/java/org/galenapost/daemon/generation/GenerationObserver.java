package org.galenapost.daemon.generation;

import java.time.Duration;
import org.galenapost.core.generation.AttemptEndReason;
import org.galenapost.core.loss.LossReason;
import org.galenapost.core.recovery.StartCause;

/** Hears what happens to generations, for counters. */
public interface GenerationObserver {

  /** An observer that ignores everything. */
  GenerationObserver NONE = new GenerationObserver() {};

  /** Hears that an attempt was started. */
  default void onStart(StartCause cause) {}

  /** Hears that an attempt was attached to again on the engine that runs it. */
  default void onAttach() {}

  /** Hears that an attempt was lost. */
  default void onLoss(LossReason reason) {}

  /** Hears that an attempt was ended because its chunks did not fit. */
  default void onInvalidChunk(AttemptEndReason reason) {}

  /** Hears that a chunk of an attempt without rights was dropped. */
  default void onFencedChunk() {}

  /** Hears that a silence was suspicious and a probe was sent. */
  default void onProbe() {}

  /** Hears that a generation went on after a loss, and how long the reader waited. */
  default void onResumed(Duration silence) {}

  /** Hears that a repeated run differed from the delivered text. */
  default void onDiverged() {}
}
