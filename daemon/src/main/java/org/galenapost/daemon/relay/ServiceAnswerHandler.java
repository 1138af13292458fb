package org.galenapost.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.galenapost.core.retry.RetryReason;
import org.galenapost.core.verdict.Verdict;
import org.galenapost.daemon.caller.ServiceAnswer;

/** Collects a service's answer and knows whether the request left and whether it ran. */
final class ServiceAnswerHandler implements AsyncHandler<ServiceAnswer> {

  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

  private final int maxAnswerBytes;
  private final BooleanSupplier trySend;
  private final Consumer<ServiceOutcome> listener;
  private final AtomicBoolean isReported = new AtomicBoolean();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private String contentType = DEFAULT_CONTENT_TYPE;
  private int httpStatus;
  private volatile boolean isSendDenied;
  private volatile Verdict verdict = Verdict.NOT_RUN;

  ServiceAnswerHandler(
      int maxAnswerBytes, BooleanSupplier mayLeave, Consumer<ServiceOutcome> listener) {
    this.maxAnswerBytes = maxAnswerBytes;
    this.trySend = mayLeave;
    this.listener = listener;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    if (!trySend.getAsBoolean()) {
      isSendDenied = true;
      throw new IllegalStateException("the request must not be sent any more");
    }
    verdict = Verdict.MAY_HAVE_RUN;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus status) {
    verdict = Verdict.RAN;
    httpStatus = status.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, DEFAULT_CONTENT_TYPE);
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    if (body.size() + part.length() > maxAnswerBytes) {
      report(toFailure("the answer is longer than " + maxAnswerBytes + " bytes"));
      return State.ABORT;
    }
    byte[] bytes = part.getBodyPartBytes();
    body.write(bytes, 0, bytes.length);
    return State.CONTINUE;
  }

  @Override
  public ServiceAnswer onCompleted() {
    ServiceAnswer answer = new ServiceAnswer(httpStatus, contentType, body.toByteArray());
    report(new ServiceOutcome.Answered(answer));
    return answer;
  }

  @Override
  public void onThrowable(Throwable cause) {
    report(isSendDenied ? new ServiceOutcome.NotSent() : toFailure(describe(cause)));
  }

  private ServiceOutcome toFailure(String detail) {
    RetryReason reason =
        verdict == Verdict.NOT_RUN ? RetryReason.CONNECT_FAILED : RetryReason.SERVER_LOST;
    return new ServiceOutcome.Failed(verdict, reason, detail);
  }

  private static String describe(Throwable cause) {
    return cause.getClass().getSimpleName() + ": " + cause.getMessage();
  }

  private void report(ServiceOutcome outcome) {
    if (isReported.compareAndSet(false, true)) {
      listener.accept(outcome);
    }
  }
}
