package org.galenapost.core.generation;

/** Runs generations to completion, over as many attempts as needed. */
public interface GenerationService {

  /**
   * Starts a generation, or subscribes to the running generation with the same id.
   *
   * @param request the request
   * @param sink the sink of the reader, called from the thread of the reader's connection or of the
   *     engine connection
   * @return the handle of the reader's subscription
   */
  GenerationHandle start(GenerationRequest request, GenerationSink sink);

  /**
   * Resumes a generation after its reader has lost its connection, from the event that follows the
   * last one received.
   *
   * @param resumeHandle the resume handle of the last event received, as sent by the reader
   * @param request the repeated request; the handle determines the identity of the generation
   * @param sink the sink of the reader
   * @return the handle of the reader's subscription
   */
  GenerationHandle resume(String resumeHandle, GenerationRequest request, GenerationSink sink);
}
