package org.galenapost.daemon.caller;

import java.util.Optional;
import org.galenapost.core.generation.GenerationRequest;

/** The target of a request: a generation or a call of a plain service. */
public sealed interface Target {

  /** Returns the name of the model or service. */
  String name();

  /**
   * A generation.
   *
   * @param request the request for the generation
   * @param isStream whether the answer is streamed token by token
   * @param resumeHandle the handle of the last event that the caller received, if it resumes a
   *     stream
   */
  record Generation(GenerationRequest request, boolean isStream, Optional<String> resumeHandle)
      implements Target {

    @Override
    public String name() {
      return request.model();
    }
  }

  /**
   * A call of a plain service.
   *
   * @param service the name of the service
   * @param uri the path and query that are sent to the service
   */
  record ServiceCall(String service, String uri) implements Target {

    @Override
    public String name() {
      return service;
    }
  }
}
