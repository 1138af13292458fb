package org.galenapost.daemon.platform;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.HttpResponseBodyPart;
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
  private final long maxBodyBytes;
  private long bodyBytes;
  private volatile boolean wasSent;

  /**
   * Creates a handler.
   *
   * @param onTimeout run before the result if the connection gave no answer in time
   * @param maxBodyBytes the largest body of a response; a larger one is not read to its end
   */
  PlatformCall(Runnable onTimeout, long maxBodyBytes) {
    this.onTimeout = onTimeout;
    this.maxBodyBytes = maxBodyBytes;
  }

  CompletableFuture<Either<PlatformError, Response>> result() {
    return result;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    wasSent = true;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
    bodyBytes += part.length();
    if (bodyBytes > maxBodyBytes) {
      String detail = "the response has more than " + maxBodyBytes + " bytes";
      result.complete(Either.left(new PlatformError.TooLarge(detail)));
      return State.ABORT;
    }
    return super.onBodyPartReceived(part);
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
