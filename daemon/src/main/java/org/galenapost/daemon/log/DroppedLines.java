package org.galenapost.daemon.log;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.CountingNoOpAppender;

/** Counts the log lines that were dropped because the queue in front of the output was full. */
public final class DroppedLines {

  /** The name of the appender that takes dropped lines in {@code log4j2.xml}. */
  private static final String APPENDER = "dropped";

  private DroppedLines() {}

  /** Returns the number of lines dropped so far; 0 if the configuration names no such appender. */
  public static long count() {
    return LogManager.getContext(false) instanceof LoggerContext context
            && context.getConfiguration().getAppender(APPENDER) instanceof CountingNoOpAppender sink
        ? sink.getCount()
        : 0;
  }
}
