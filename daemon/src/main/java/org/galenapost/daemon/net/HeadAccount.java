package org.galenapost.daemon.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The memory that the heads of one connection take in a {@link HeadBudget}: the message that is
 * being read, and the complete ones until their calls end. It is estimated per message, line and
 * byte, since a line of four bytes takes a hundred times as much in the process.
 */
public final class HeadAccount {

  /** The objects of a request besides its header lines. */
  static final long MESSAGE_BYTES = 1_024;

  /**
   * The header entry, name and value of a line take about 140 bytes, and the entries of the two
   * copies that are made for a send 40 each.
   */
  static final long LINE_BYTES = 240;

  /** A byte is held in the read buffer, the decoded line and the encoded request. */
  static final long COPIES_OF_BYTE = 3;

  private final HeadBudget budget;
  private final Runnable onEvicted;
  private final Deque<Long> completeBytes = new ArrayDeque<>();
  private Optional<HttpHeaders> currentLines = Optional.empty();
  private long currentBytes;
  private long undecodedBytes;
  private boolean isInMessage;
  private boolean isAnswered;
  private boolean isClosed;

  /**
   * Creates the account of one connection.
   *
   * @param budget the room of all connections
   * @param onEvicted closes the connection when its incomplete message gives up its room
   */
  public HeadAccount(HeadBudget budget, Runnable onEvicted) {
    this.budget = budget;
    this.onEvicted = onEvicted;
  }

  /** Makes a decoder charge the lines of heads and trailers to this account. */
  public HttpDecoderConfig addTo(HttpDecoderConfig config) {
    return config
        .setHeadersFactory(
            new ChargedHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), false))
        .setTrailersFactory(
            new ChargedHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), true));
  }

  /** Begins a message with its first byte, if none is being read. */
  public void beginMessage() {
    if (!isInMessage && !isClosed) {
      isInMessage = true;
      isAnswered = false;
      budget.addIncomplete(this);
      if (!tryCharge(MESSAGE_BYTES)) {
        drop();
        onEvicted.run();
      }
    }
  }

  /** Sets the number of bytes that are read but not decoded, which a long line may have many of. */
  public void setUndecodedBytes(int bytes) {
    long grownBytes = (bytes - undecodedBytes) * COPIES_OF_BYTE;
    if (!isInMessage) {
      return;
    }
    if (grownBytes <= 0) {
      budget.release(-grownBytes);
      currentBytes += grownBytes;
      undecodedBytes = bytes;
    } else if (tryCharge(grownBytes)) {
      undecodedBytes = bytes;
    } else {
      drop();
      onEvicted.run();
    }
  }

  /**
   * Sets the number of bytes after the head of a message that are read but not decoded, such as a
   * long line that states the size of a chunk. They give up their room like an incomplete head.
   */
  public void setUndecodedBodyBytes(int bytes) {
    if (bytes > 0) {
      beginMessage();
    }
    setUndecodedBytes(bytes);
    if (bytes == 0 && isInMessage && currentLines.isEmpty()) {
      drop();
    }
  }

  /** Ends the message that is being read; it is held until {@link #endCall}. */
  public void completeMessage() {
    if (!isInMessage) {
      return;
    }
    setUndecodedBytes(0);
    long bytes = currentBytes;
    currentBytes = 0;
    drop();
    if (isAnswered) {
      budget.release(bytes);
    } else {
      completeBytes.addLast(bytes);
    }
  }

  /** Releases the first of the complete messages, whose call has ended. */
  public void endCall() {
    Long bytes = completeBytes.pollFirst();
    if (bytes != null) {
      budget.release(bytes);
    } else {
      isAnswered = true;
    }
  }

  /** Releases all that the connection holds. */
  public void releaseAll() {
    drop();
    completeBytes.forEach(budget::release);
    completeBytes.clear();
  }

  /** Releases all that the connection holds, and charges nothing more. */
  public void close() {
    releaseAll();
    isClosed = true;
  }

  /** Returns the memory of the message that is being read. */
  long currentBytes() {
    return currentBytes;
  }

  /**
   * Gives up the room of the incomplete message. Its lines are freed here, since the connection is
   * closed only after all others that have bytes to read, which would take the room once more.
   */
  void evict() {
    currentLines.ifPresent(HttpHeaders::clear);
    drop();
    onEvicted.run();
  }

  private boolean tryCharge(long bytes) {
    boolean isCharged = isInMessage && budget.tryReserve(this, bytes);
    currentBytes += isCharged ? bytes : 0;
    return isCharged;
  }

  private void drop() {
    budget.release(currentBytes);
    currentBytes = 0;
    undecodedBytes = 0;
    isInMessage = false;
    currentLines = Optional.empty();
    budget.removeIncomplete(this);
  }

  private void chargeLine(HttpHeaders headers, CharSequence name, Object value) {
    long bytes = LINE_BYTES + COPIES_OF_BYTE * (name.length() + value.toString().length());
    if (!tryCharge(bytes)) {
      drop();
      headers.clear();
      throw new NoRoomForHeadException();
    }
    currentLines = Optional.of(headers);
  }

  /** Creates headers that charge each line when the decoder adds it. */
  private final class ChargedHeadersFactory implements HttpHeadersFactory {

    private final DefaultHttpHeadersFactory validation;
    private final boolean isTrailers;

    ChargedHeadersFactory(DefaultHttpHeadersFactory validation, boolean isTrailers) {
      this.validation = validation;
      this.isTrailers = isTrailers;
    }

    @Override
    public HttpHeaders newHeaders() {
      return new ChargedHeaders(validation, isTrailers);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return newHeaders();
    }
  }

  /** Headers that charge the lines which the decoder adds while the message is read. */
  private final class ChargedHeaders extends DefaultHttpHeaders {

    private final boolean isTrailers;

    ChargedHeaders(DefaultHttpHeadersFactory validation, boolean isTrailers) {
      super(validation.getNameValidator(), validation.getValueValidator());
      this.isTrailers = isTrailers;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      chargeIfRead(name, value);
      return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
      chargeIfRead(name, value);
      return super.add(name, value);
    }

    /** Handlers add headers after the message is complete; they cost no more than its copies. */
    private void chargeIfRead(CharSequence name, Object value) {
      if (isTrailers) {
        // The head of a response is complete before its body, and its trailers count anew.
        beginMessage();
      }
      if (isInMessage) {
        chargeLine(this, name, value);
      }
    }
  }
}
