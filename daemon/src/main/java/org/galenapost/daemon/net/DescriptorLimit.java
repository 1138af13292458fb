package org.galenapost.daemon.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.galenapost.daemon.log.EventLog;

/**
 * The number of file descriptors that this process may open, and the shares of it that listeners
 * may take. What they leave is for connections to servers, to other daemons and to the platform,
 * and for files.
 */
public final class DescriptorLimit {

  private static final EventLog LOG = EventLog.of(DescriptorLimit.class);
  private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\d{1,9})\\s.*");

  /** The limit of the users' entry hosts. */
  private static final int DEFAULT_COUNT = 4_100;

  private static final int CALLER_DIVISOR = 2;
  private static final int ADMIN_DIVISOR = 16;
  private static final int HANDSHAKE_DIVISOR = 16;

  /** Enough for a fleet of several hundred daemons that connect to one another at once. */
  private static final int MAX_HANDSHAKES = 256;

  private final int count;

  private DescriptorLimit(int count) {
    this.count = count;
  }

  /** Returns a limit of the given number of descriptors. */
  public static DescriptorLimit of(int count) {
    return new DescriptorLimit(count);
  }

  /** Returns the limit of this process, or that of the users' hosts if the system states none. */
  public static DescriptorLimit ofProcess() {
    try {
      return of(parse(Files.readAllLines(LIMITS_FILE)));
    } catch (IOException e) {
      LOG.info("descriptor_limit_unknown").with("assumed", DEFAULT_COUNT).with("error", e).write();
      return of(DEFAULT_COUNT);
    }
  }

  static int parse(List<String> lines) {
    return lines.stream()
        .map(OPEN_FILES::matcher)
        .filter(Matcher::matches)
        .map(line -> Integer.parseInt(line.group(1)))
        .findFirst()
        .orElse(DEFAULT_COUNT);
  }

  /** Returns how many connections of callers may be open at most. */
  public int maxCallerConnections() {
    return count / CALLER_DIVISOR;
  }

  /** Returns how many connections of operators, or of readiness probes, may be open at most. */
  public int maxAdminConnections() {
    return count / ADMIN_DIVISOR;
  }

  /** Returns how many connections of daemons that are not authenticated may be open at most. */
  public int maxHandshakes() {
    return Math.min(MAX_HANDSHAKES, count / HANDSHAKE_DIVISOR);
  }
}
