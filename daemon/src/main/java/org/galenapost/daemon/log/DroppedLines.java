package org.galenapost.daemon.log;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.CountingNoOpAppender;

/**
 * Counts the log lines that were dropped because the queue of the asynchronous appender was full.
 */
public final class DroppedLines {

  /** The name of the appender in {@code log4j2.json} that receives dropped lines. */
  private static final String APPENDER = "dropped";

  private DroppedLines() {}

  /** Returns the number of lines dropped so far, or 0 if that appender is not configured. */
  public static long count() {
    return LogManager.getContext(false) instanceof LoggerContext context
            && context.getConfiguration().getAppender(APPENDER) instanceof CountingNoOpAppender sink
        ? sink.getCount()
        : 0;
  }
}
