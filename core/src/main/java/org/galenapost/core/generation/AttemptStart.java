package org.galenapost.core.generation;

import java.util.List;

/**
 * The parameters with which an engine starts or continues a generation.
 *
 * @param attempt the id of the new attempt
 * @param pin the model, version and sampling settings that all attempts share
 * @param accepted the accepted tokens after which the attempt continues
 */
public record AttemptStart(AttemptId attempt, GenerationPin pin, List<String> accepted) {

  /** Copies the tokens. */
  public AttemptStart {
    accepted = List.copyOf(accepted);
  }
}
