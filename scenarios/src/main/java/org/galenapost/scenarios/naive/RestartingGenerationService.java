package org.galenapost.scenarios.naive;

import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.generation.GenerationSink;

/** Ignores resume handles: a caller that reconnects gets a new generation from the start. */
final class RestartingGenerationService implements GenerationService {

  private final GenerationService delegate;

  RestartingGenerationService(GenerationService delegate) {
    this.delegate = delegate;
  }

  @Override
  public GenerationHandle start(GenerationRequest request, GenerationSink sink) {
    return delegate.start(request, sink);
  }

  @Override
  public GenerationHandle resume(
      String resumeHandle, GenerationRequest request, GenerationSink sink) {
    return delegate.start(request, sink);
  }
}
