package org.galenapost.daemon.caller.answer;

import java.util.Optional;

/**
 * A server-sent event.
 *
 * @param name the event name, empty for the default event type
 * @param id the event id, with which the caller resumes after this event
 * @param data the data, a single line
 */
record ServerSentEvent(Optional<String> name, Optional<String> id, String data) {

  static final String CONTENT_TYPE = "text/event-stream; charset=utf-8";

  private static final String KEEP_ALIVE = ": keep-alive\n\n";

  static ServerSentEvent data(String data) {
    return new ServerSentEvent(Optional.empty(), Optional.empty(), data);
  }

  static ServerSentEvent token(String id, String data) {
    return new ServerSentEvent(Optional.empty(), Optional.of(id), data);
  }

  static ServerSentEvent named(String name, String data) {
    return new ServerSentEvent(Optional.of(name), Optional.empty(), data);
  }

  /** Returns the comment that keeps an idle connection open. */
  static String keepAlive() {
    return KEEP_ALIVE;
  }

  /** Returns the event in the text/event-stream format. */
  String toText() {
    StringBuilder text = new StringBuilder(data.length() + 64);
    name.ifPresent(value -> text.append("event: ").append(value).append('\n'));
    id.ifPresent(value -> text.append("id: ").append(value).append('\n'));
    return text.append("data: ").append(data).append("\n\n").toString();
  }
}
