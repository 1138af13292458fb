package org.galenapost.daemon.platform;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.galenapost.core.platform.PlatformError;

/**
 * The response handler of one call. A failure before the request was handed to a connection is
 * reported as unavailable, because the call had no effect. A failure after it is reported as a lost
 * answer, because the platform may have processed the request.
 */
final class PlatformCall extends AsyncCompletionHandler<Void> {

  private final CompletableFuture<Either<PlatformError, Response>> result =
      new CompletableFuture<>();
  private final Runnable onTimeout;
  private volatile boolean wasSent;

  /**
   * Creates a handler.
   *
   * @param onTimeout run before the result if the connection gave no answer in time
   */
  PlatformCall(Runnable onTimeout) {
    this.onTimeout = onTimeout;
  }

  CompletableFuture<Either<PlatformError, Response>> result() {
    return result;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    wasSent = true;
  }

  @Override
  public Void onCompleted(Response response) {
    result.complete(Either.right(response));
    return null;
  }

  @Override
  public void onThrowable(Throwable error) {
    if (wasSent && error instanceof TimeoutException) {
      onTimeout.run();
    }
    String detail = error.getClass().getSimpleName() + ": " + error.getMessage();
    result.complete(
        Either.left(
            wasSent
                ? new PlatformError.AnswerLost(detail)
                : new PlatformError.Unavailable(detail)));
  }
}
