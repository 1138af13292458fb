package org.galenapost.standins.load;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/** Decodes a byte stream into server-sent events. Not thread-safe. */
final class EventDecoder {

  private static final int MAX_LINE_BYTES = 1024 * 1024;
  private static final String DEFAULT_NAME = "message";

  private final EmbeddedChannel lines =
      new EmbeddedChannel(
          new LineBasedFrameDecoder(MAX_LINE_BYTES), new StringDecoder(StandardCharsets.UTF_8));
  private final Consumer<StreamEvent> receiver;
  private Optional<String> id = Optional.empty();
  private String name = DEFAULT_NAME;
  private String data = "";
  private boolean hasData;

  EventDecoder(Consumer<StreamEvent> receiver) {
    this.receiver = receiver;
  }

  /** Decodes the next bytes and passes each complete event to the receiver. */
  void accept(byte[] bytes) {
    lines.writeInbound(Unpooled.wrappedBuffer(bytes));
    for (String line = lines.readInbound(); line != null; line = lines.readInbound()) {
      acceptLine(line);
    }
  }

  /** Ends the stream and discards an incomplete event. */
  void close() {
    lines.finishAndReleaseAll();
  }

  private void acceptLine(String line) {
    if (line.isEmpty()) {
      dispatch();
      return;
    }
    int colon = line.indexOf(':');
    String field = colon < 0 ? line : line.substring(0, colon);
    String value = colon < 0 ? "" : line.substring(colon + 1);
    acceptField(field, value.startsWith(" ") ? value.substring(1) : value);
  }

  private void acceptField(String field, String value) {
    switch (field) {
      case "id" -> id = Optional.of(value);
      case "event" -> name = value;
      case "data" -> {
        data = hasData ? data + "\n" + value : value;
        hasData = true;
      }
      default -> {
        // comments and unknown fields are ignored
      }
    }
  }

  private void dispatch() {
    StreamEvent event = new StreamEvent(id, name, data);
    boolean isEvent = hasData;
    id = Optional.empty();
    name = DEFAULT_NAME;
    data = "";
    hasData = false;
    if (isEvent) {
      receiver.accept(event);
    }
  }
}
