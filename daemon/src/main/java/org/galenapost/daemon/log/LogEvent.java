package org.galenapost.daemon.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;

/** A builder of one log event, which is written as one line of {@code key=value} pairs. */
public final class LogEvent {

  private final Logger logger;
  private final Level level;
  private final StringBuilder line;

  LogEvent(Logger logger, Level level, String event) {
    this.logger = logger;
    this.level = level;
    this.line = new StringBuilder("event=").append(LogValue.escape(event));
  }

  /** Adds a pair with the string form of a value. */
  public LogEvent with(String key, Object value) {
    line.append(' ').append(key).append('=').append(LogValue.escape(String.valueOf(value)));
    return this;
  }

  /** Adds a pair with the class name and message of an error. */
  public LogEvent with(String key, Throwable error) {
    return with(key, error.getClass().getSimpleName() + ": " + error.getMessage());
  }

  /** Writes the event. */
  public void write() {
    logger.log(level, line);
  }

  /** Writes the event followed by the stack trace of an unexpected error in the program. */
  public void write(Throwable fault) {
    logger.log(level, line, fault);
  }
}
