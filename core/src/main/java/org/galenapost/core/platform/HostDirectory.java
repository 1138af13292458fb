package org.galenapost.core.platform;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Reads the platform's list of live and leaving hosts. */
@FunctionalInterface
public interface HostDirectory {

  /** Returns the complete host list. */
  CompletionStage<Either<PlatformError, HostList>> hosts();
}
