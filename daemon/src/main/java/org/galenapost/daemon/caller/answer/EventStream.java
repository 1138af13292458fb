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
 * Sends events to a caller with backpressure. The stream is blocked once the unsent bytes reach the
 * buffer size, and unblocked once they fall to half of it. The connection is closed if the stream
 * stays blocked for longer than the timeout, or if the unsent bytes exceed four times the buffer
 * size because the sender does not stop.
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
   * Creates an event stream on a response.
   *
   * @param response the response
   * @param bufferBytes the unsent bytes at which the stream is blocked
   * @param scheduler runs the timeout of a blocked stream
   * @param slowReaderTimeout the longest time that the stream may stay blocked
   */
  EventStream(
      CallerResponse response, int bufferBytes, Scheduler scheduler, Duration slowReaderTimeout) {
    this.response = response;
    this.bufferBytes = bufferBytes;
    this.scheduler = scheduler;
    this.slowReaderTimeout = slowReaderTimeout;
    response.onEnd(() -> replaceTimer(NO_TIMER));
  }

  /** Sets the listener that is called each time the stream is unblocked. */
  void onWritable(Runnable listener) {
    writableListener = listener;
  }

  /** Returns whether more events may be sent; blocks the stream if the buffer is full. */
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
      long expectedUnblockCount = unblockCount.get();
      replaceTimer(
          scheduler.schedule(slowReaderTimeout, () -> abortIfStillBlocked(expectedUnblockCount)));
    }
  }

  private void abortIfStillBlocked(long expectedUnblockCount) {
    if (isBlocked.get() && unblockCount.get() == expectedUnblockCount && !response.isEnded()) {
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

  /** Returns whether any events are not yet written. */
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
