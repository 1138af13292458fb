package org.galenapost.daemon.operator;

import org.galenapost.daemon.http.PipelineSetup;

/** Sets up the channel pipeline of operator connections. */
public final class OperatorPipeline {

  private OperatorPipeline() {}

  /** Returns a pipeline setup that serves the given routes and checks the operator token. */
  public static PipelineSetup serving(OperatorRoutes routes, String token) {
    return pipeline -> pipeline.addLast("operator", new OperatorConnection(routes, token));
  }
}
