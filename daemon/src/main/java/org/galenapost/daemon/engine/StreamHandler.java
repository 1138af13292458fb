package org.galenapost.daemon.engine;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.galenapost.core.generation.AttemptId;

/** Turns the answer of one call into chunks and one end; stops and goes on reading when told to. */
final class StreamHandler implements AsyncHandler<Void>, EngineCall {

  private static final String DONE = "[DONE]";

  private final AttemptId attempt;
  private final EngineListener listener;
  private final EventDecoder decoder = new EventDecoder(this::onData);
  private final AtomicBoolean hasEnded = new AtomicBoolean();
  private boolean isComplete;
  private boolean wasConnected;
  private Channel channel;
  private boolean isPaused;
  private boolean isClosed;

  StreamHandler(AttemptId attempt, EngineListener listener) {
    this.attempt = attempt;
    this.listener = listener;
  }

  @Override
  public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
    setChannel(connected);
  }

  @Override
  public void onConnectionPooled(Channel pooled) {
    setChannel(pooled);
  }

  @Override
  public State onStatusReceived(HttpResponseStatus status) {
    if (StreamEnd.isStream(status.getStatusCode())) {
      return State.CONTINUE;
    }
    end(StreamEnd.ofStatus(status.getStatusCode()));
    return State.ABORT;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    if (hasEnded.get()) {
      return State.CONTINUE;
    }
    try {
      decoder.feed(part.getBodyPartBytes());
    } catch (IllegalArgumentException e) {
      end(StreamEnd.MALFORMED);
    }
    return hasEnded.get() && !part.isLast() && !isComplete ? State.ABORT : State.CONTINUE;
  }

  private void onData(String data) {
    if (hasEnded.get()) {
      return;
    }
    if (data.equals(DONE)) {
      isComplete = true;
      end(StreamEnd.COMPLETE);
      return;
    }
    EngineChunk.read(data, attempt)
        .peek(listener::onEvent)
        .peekLeft(fault -> end(StreamEnd.MALFORMED));
  }

  @Override
  public void onThrowable(Throwable error) {
    end(wasConnected() ? StreamEnd.RESET : StreamEnd.UNREACHABLE);
  }

  @Override
  public Void onCompleted() {
    end(StreamEnd.RESET);
    return null;
  }

  private void end(StreamEnd end) {
    if (hasEnded.compareAndSet(false, true)) {
      detachChannel();
      listener.onEnd(end);
    }
  }

  private synchronized boolean wasConnected() {
    return wasConnected;
  }

  private synchronized void setChannel(Channel connected) {
    wasConnected = true;
    channel = connected;
    if (isClosed) {
      connected.close();
    } else if (isPaused) {
      connected.config().setAutoRead(false);
    }
  }

  /** Leaves the connection to the pool as it was found. */
  private synchronized void detachChannel() {
    if (isPaused && channel != null) {
      channel.config().setAutoRead(true);
    }
    isPaused = false;
    isClosed = true;
    channel = null;
  }

  @Override
  public synchronized void pause() {
    if (!isClosed) {
      isPaused = true;
      Optional.ofNullable(channel).ifPresent(open -> open.config().setAutoRead(false));
    }
  }

  @Override
  public synchronized void resume() {
    if (isPaused) {
      isPaused = false;
      Optional.ofNullable(channel).ifPresent(open -> open.config().setAutoRead(true));
    }
  }

  @Override
  public synchronized void close() {
    hasEnded.set(true);
    isClosed = true;
    Optional.ofNullable(channel).ifPresent(Channel::close);
    channel = null;
  }
}
