package org.galenapost.daemon.http;

import io.netty.channel.ChannelPipeline;

/** Adds handlers to the pipeline of a new connection. */
@FunctionalInterface
public interface PipelineSetup {

  /** Adds the handlers to a pipeline. */
  void setUp(ChannelPipeline pipeline);

  /** Returns a set-up that runs this set-up and then another. */
  default PipelineSetup then(PipelineSetup next) {
    return pipeline -> {
      setUp(pipeline);
      next.setUp(pipeline);
    };
  }
}
