package org.galenapost.daemon.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A logger that writes each event as one line of {@code key=value} pairs.
 *
 * <pre>{@code
 * log.info("server_lost").with("server", id).with("silent_ms", 900).write();
 * }</pre>
 */
public final class EventLog {

  private final Logger logger;

  private EventLog(Logger logger) {
    this.logger = logger;
  }

  /** Returns the event log of a class. */
  public static EventLog of(Class<?> owner) {
    return new EventLog(LogManager.getLogger(owner));
  }

  /** Starts an event for detailed analysis. */
  public LogEvent debug(String event) {
    return new LogEvent(logger, Level.DEBUG, event);
  }

  /** Starts an event of normal operation. */
  public LogEvent info(String event) {
    return new LogEvent(logger, Level.INFO, event);
  }

  /** Starts an event that may require attention. */
  public LogEvent warn(String event) {
    return new LogEvent(logger, Level.WARN, event);
  }

  /** Starts an event that requires attention. */
  public LogEvent error(String event) {
    return new LogEvent(logger, Level.ERROR, event);
  }
}
