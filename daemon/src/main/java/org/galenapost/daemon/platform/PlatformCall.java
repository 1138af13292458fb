package org.galenapost.daemon.platform;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.galenapost.core.platform.PlatformError;

/**
 * One call. It remembers whether the request was handed to a connection: before that a failure had
 * certainly no effect, after it the answer is lost.
 */
final class PlatformCall extends AsyncCompletionHandler<Void> {

  private final CompletableFuture<Either<PlatformError, Response>> result =
      new CompletableFuture<>();
  private volatile boolean wasSent;

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
    String detail = error.getClass().getSimpleName() + ": " + error.getMessage();
    result.complete(
        Either.left(
            wasSent
                ? new PlatformError.AnswerLost(detail)
                : new PlatformError.Unavailable(detail)));
  }
}
