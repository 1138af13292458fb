package org.galenapost.daemon.wiring;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.galenapost.core.generation.GenerationHandle;
import org.galenapost.core.generation.GenerationRequest;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.generation.GenerationSink;

/** Generations that a test drives by hand. */
final class FakeGenerationService implements GenerationService {

  final List<StartedGeneration> started = new CopyOnWriteArrayList<>();

  /** A generation with its reader. */
  static final class StartedGeneration implements GenerationHandle {

    final GenerationRequest request;
    final GenerationSink sink;
    final String resumeHandle;
    volatile boolean isCancelled;
    volatile Runnable writableCallback = () -> {};

    StartedGeneration(GenerationRequest request, GenerationSink sink, String resumeHandle) {
      this.request = request;
      this.sink = sink;
      this.resumeHandle = resumeHandle;
    }

    void sendToken(int offset) {
      sink.onToken(offset, "t" + offset + " ", "h" + offset);
    }

    @Override
    public void cancel() {
      isCancelled = true;
    }

    @Override
    public void onWritable() {
      writableCallback.run();
    }
  }

  @Override
  public GenerationHandle start(GenerationRequest request, GenerationSink sink) {
    return add(new StartedGeneration(request, sink, ""));
  }

  @Override
  public GenerationHandle resume(
      String resumeHandle, GenerationRequest request, GenerationSink sink) {
    return add(new StartedGeneration(request, sink, resumeHandle));
  }

  private StartedGeneration add(StartedGeneration generation) {
    started.add(generation);
    return generation;
  }
}
