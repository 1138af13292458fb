package org.galenapost.daemon.generation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.galenapost.core.directory.DirectoryEntry;
import org.galenapost.core.directory.DirectoryKey;
import org.galenapost.core.explain.Decision;
import org.galenapost.core.explain.DecisionKind;
import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.generation.GenerationPin;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.generation.HandleError;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.generation.ResumeHandle;
import org.galenapost.core.generation.RollingHash;
import org.galenapost.core.generation.StreamState;

/** Runs generations over engines that fail, and takes over those that other daemons began. */
public final class StreamingGenerationService implements GenerationService {

  private static final int ATTEMPT_NUMBER_RANGE_SIZE = 1_000;
  private static final int ATTEMPT_NUMBER_RANGES = 1_000_000;

  private final GenerationContext context;
  private final ServerPaces paces = new ServerPaces();
  private final ServerProbes probes;

  /** Creates the service. */
  public StreamingGenerationService(GenerationContext context) {
    this.context = context;
    this.probes = new ServerProbes(context.engines(), context.scheduler());
  }

  @Override
  public GenerationHandle start(GenerationRequest request, GenerationSink sink) {
    context.retryAllowance().onFirstAttempt(request.workspace());
    if (!request.isKeyed()) {
      StreamState state = StreamState.fresh(request.generationId(), GenerationPin.of(request));
      GenerationRun run = newRun(request, sink, state, false);
      run.startFirstAttempt();
      return run;
    }
    PendingHandle handle = new PendingHandle();
    context
        .directory()
        .find(new DirectoryKey(request.workspace(), request.generationId()))
        .thenAccept(entry -> handle.complete(startKeyed(request, sink, entry)));
    return handle;
  }

  private GenerationHandle startKeyed(
      GenerationRequest request, GenerationSink sink, Optional<DirectoryEntry> entry) {
    GenerationPin pin = GenerationPin.of(request);
    GenerationPin shared = entry.map(found -> pin.withSeed(found.seed())).orElse(pin);
    StreamState state =
        StreamState.replaying(
            request.generationId(), shared, randomAttemptNumberBase(), 0, RollingHash.EMPTY);
    GenerationRun run = newRun(request, sink, state, false);
    entry.ifPresentOrElse(found -> run.attachOrRerun(found.attempt(), found.serverId()), run::startFirstAttempt);
    return run;
  }

  @Override
  public GenerationHandle resume(
      String resumeHandle, GenerationRequest request, GenerationSink sink) {
    return context
        .handleCodec()
        .decode(resumeHandle, request.workspace(), RequestDigest.of(request))
        .fold(error -> refuse(sink, error), handle -> resume(handle, request, sink));
  }

  private GenerationHandle resume(
      ResumeHandle handle, GenerationRequest request, GenerationSink sink) {
    GenerationPin pin =
        GenerationPin.of(request).withSeed(handle.seed()).withVersion(handle.modelVersion());
    StreamState state =
        StreamState.replaying(
            handle.generationId(),
            pin,
            randomAttemptNumberBase(),
            handle.deliveredTokens(),
            handle.hash());
    sink.onResumed(handle.generationId());
    GenerationRun run = newRun(request, sink, state, true);
    run.attachOrRerun(handle.attempt(), handle.serverId());
    return run;
  }

  private static GenerationHandle refuse(GenerationSink sink, HandleError error) {
    sink.onDecision(new Decision(DecisionKind.REFUSED, error.name()));
    sink.onRefusal(error.refusal());
    return new PendingHandle();
  }

  private GenerationRun newRun(
      GenerationRequest request, GenerationSink sink, StreamState state, boolean hasText) {
    RequestDigest digest = RequestDigest.of(request);
    AnswerWriter reader = new AnswerWriter(context, request, digest, sink, hasText);
    return new GenerationRun(context, request, digest, reader, state, paces, probes);
  }

  /** Returns the start of a range of attempt numbers that no other daemon is likely to use. */
  private int randomAttemptNumberBase() {
    return ATTEMPT_NUMBER_RANGE_SIZE * (1 + context.random().nextInt(ATTEMPT_NUMBER_RANGES));
  }

  /** Passes calls on once the generation has begun. */
  private static final class PendingHandle implements GenerationHandle {

    private final CompletableFuture<GenerationHandle> handle = new CompletableFuture<>();

    void complete(GenerationHandle begun) {
      handle.complete(begun);
    }

    @Override
    public void cancel() {
      handle.thenAccept(GenerationHandle::cancel);
    }

    @Override
    public void onWritable() {
      handle.thenAccept(GenerationHandle::onWritable);
    }
  }
}
