package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.galenapost.core.platform.HostDirectory;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.platform.PlatformError;

/** Caches the first host list that it reads and returns it from then on, without later changes. */
final class FixedHostDirectory implements HostDirectory {

  private final HostDirectory delegate;
  private final AtomicReference<HostList> firstList = new AtomicReference<>();

  FixedHostDirectory(HostDirectory delegate) {
    this.delegate = delegate;
  }

  @Override
  public CompletionStage<Either<PlatformError, HostList>> hosts() {
    return delegate
        .hosts()
        .thenApply(
            answer ->
                answer.map(list -> firstList.compareAndSet(null, list) ? list : firstList.get()));
  }
}
