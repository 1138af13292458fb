package org.galenapost.daemon.caller.answer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.generation.GenerationSink;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Target;
import org.galenapost.daemon.settings.LimitSettings;
import org.galenapost.daemon.settings.TimingSettings;

/** Runs generations for exchanges and relays their output to the callers. */
public final class GenerationRelay {

  private final GenerationService service;
  private final Scheduler scheduler;
  private final LimitSettings limits;
  private final TimingSettings timings;

  /** Creates a relay to a generation service. */
  public GenerationRelay(
      GenerationService service,
      Scheduler scheduler,
      LimitSettings limits,
      TimingSettings timings) {
    this.service = service;
    this.scheduler = scheduler;
    this.limits = limits;
    this.timings = timings;
  }

  /** Starts or resumes a generation and relays its output to the caller. */
  public void relay(Exchange exchange, Target.Generation target) {
    // The caller may disconnect, or the stream unblock, before the service returns the handle.
    CompletableFuture<GenerationHandle> handle = new CompletableFuture<>();
    GenerationSink sink = newSink(exchange, target, handle);
    exchange.response().onEnd(() -> handle.thenAccept(GenerationHandle::cancel));
    handle.complete(start(target.request(), target.resumeHandle(), sink));
  }

  private GenerationHandle start(
      GenerationRequest request, Optional<String> resumeHandle, GenerationSink sink) {
    return resumeHandle
        .map(resume -> service.resume(resume, request, sink))
        .orElseGet(() -> service.start(request, sink));
  }

  private GenerationSink newSink(
      Exchange exchange, Target.Generation target, CompletableFuture<GenerationHandle> handle) {
    String id = target.request().generationId();
    String model = target.request().model();
    if (!target.isStream()) {
      return new DocumentSink(exchange, id, model, limits.maxAnswerBytes());
    }
    EventStream stream =
        new EventStream(
            exchange.response(),
            limits.streamBufferBytes(),
            scheduler,
            timings.slowReaderTimeout());
    stream.onWritable(() -> handle.thenAccept(GenerationHandle::onWritable));
    KeepAlive keepAlive =
        new KeepAlive(exchange.response(), stream, scheduler, timings.keepAliveInterval());
    return new StreamSink(exchange, id, model, stream, keepAlive);
  }
}
