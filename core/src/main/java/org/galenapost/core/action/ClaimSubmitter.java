package org.galenapost.core.action;

import java.util.concurrent.CompletionStage;

/** Submits operations on claims. */
@FunctionalInterface
public interface ClaimSubmitter {

  /** Applies an operation to the claims in the platform's object API. */
  CompletionStage<ClaimResult> submit(ClaimOperation operation);
}
