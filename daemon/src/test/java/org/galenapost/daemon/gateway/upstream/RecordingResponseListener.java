package org.galenapost.daemon.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.galenapost.daemon.gateway.call.ResponseHead;

/** Keeps what a caller would get as the response to one send. */
class RecordingResponseListener implements ResponseListener {

  private final StringBuilder body = new StringBuilder();
  private Optional<ResponseHead> head = Optional.empty();
  private Optional<SendFailure> failure = Optional.empty();
  private boolean isComplete;

  Optional<ResponseHead> head() {
    return head;
  }

  String body() {
    return body.toString();
  }

  Optional<SendFailure> failure() {
    return failure;
  }

  boolean isComplete() {
    return isComplete;
  }

  @Override
  public void onHead(ResponseHead newHead) {
    head = Optional.of(newHead);
  }

  @Override
  public void onBody(ByteBuf part) {
    body.append(part.toString(StandardCharsets.UTF_8));
  }

  @Override
  public void onReadComplete() {}

  @Override
  public void onComplete() {
    isComplete = true;
  }

  @Override
  public void onFailure(SendFailure newFailure) {
    failure = Optional.of(newFailure);
  }
}
