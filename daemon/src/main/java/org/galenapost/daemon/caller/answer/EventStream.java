package org.galenapost.daemon.caller.answer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.time.Scheduler.Cancellable;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.CallerResponse;

/**
 * Sends events to a reader and counts what the reader has not taken yet. From the buffer's size on
 * the stream is blocked until half of the buffer is free. A stream that stays blocked for too long,
 * or whose sender goes on all the same up to four times the buffer, is broken off.
 */
final class EventStream {

  private static final int OVERFLOW_FACTOR = 4;
  private static final Cancellable NO_TIMER = () -> {};

  private final CallerResponse response;
  private final long bufferBytes;
  private final AtomicLong unsentBytes = new AtomicLong();
  private final Scheduler scheduler;
  private final Duration slowReaderTimeout;
  private final AtomicLong unblockCount = new AtomicLong();
  private final AtomicReference<Cancellable> slowReaderTimer = new AtomicReference<>(NO_TIMER);
  private final AtomicBoolean isBlocked = new AtomicBoolean();
  private volatile Runnable writableListener = () -> {};

  /**
   * Creates a stream on a response.
   *
   * @param response the response
   * @param bufferBytes the size of the buffer
   * @param scheduler ends streams that stay blocked
   * @param slowReaderTimeout how long the stream may stay blocked
   */
  EventStream(
      CallerResponse response, int bufferBytes, Scheduler scheduler, Duration slowReaderTimeout) {
    this.response = response;
    this.bufferBytes = bufferBytes;
    this.scheduler = scheduler;
    this.slowReaderTimeout = slowReaderTimeout;
    response.onEnd(() -> replaceTimer(NO_TIMER));
  }

  /** Sets what is called each time the reader, once slow, takes events again. */
  void onWritable(Runnable listener) {
    writableListener = listener;
  }

  /** Returns whether the unsent events fit the buffer. */
  boolean isWritable() {
    if (unsentBytes.get() < bufferBytes) {
      return true;
    }
    block();
    unblockIfDrained();
    return !isBlocked.get();
  }

  private void block() {
    if (isBlocked.compareAndSet(false, true)) {
      long episode = unblockCount.get();
      replaceTimer(scheduler.schedule(slowReaderTimeout, () -> abortIfStillBlocked(episode)));
    }
  }

  private void abortIfStillBlocked(long episode) {
    if (isBlocked.get() && unblockCount.get() == episode && !response.isEnded()) {
      abort("The answer was not read in time.");
    }
  }

  private void replaceTimer(Cancellable next) {
    slowReaderTimer.getAndSet(next).cancel();
  }

  private void abort(String detail) {
    response.recordRefusal(Refusal.mayHaveRun(RefusalReason.CALLER_TOO_SLOW, detail));
    response.abort();
  }

  /** Returns whether any event waits for the reader. */
  boolean hasUnsent() {
    return unsentBytes.get() > 0;
  }

  void send(String text) {
    if (unsentBytes.get() > OVERFLOW_FACTOR * bufferBytes) {
      abort("More of the answer is unread than is kept.");
      return;
    }
    ByteBuf part = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    int size = part.readableBytes();
    unsentBytes.addAndGet(size);
    response.sendPart(part, () -> onWritten(size));
  }

  private void onWritten(int size) {
    unsentBytes.addAndGet(-size);
    if (isBlocked.get()) {
      unblockIfDrained();
    }
  }

  private void unblockIfDrained() {
    if (unsentBytes.get() <= bufferBytes / 2 && isBlocked.compareAndSet(true, false)) {
      unblockCount.incrementAndGet();
      replaceTimer(NO_TIMER);
      writableListener.run();
    }
  }
}
