package org.galenapost.scenarios.fleet;

import java.time.Duration;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.process.ManagedProcess;

/** Waits until the readiness endpoint of a daemon answers 200. */
final class Readiness {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final int OK = 200;

  private Readiness() {}

  /**
   * Polls {@code /readyz} until it answers 200.
   *
   * @param operatorUrl the base URL of the daemon's operator port
   * @param daemon the name of the daemon, for the error message
   * @throws IllegalStateException if the daemon is not ready within 30 seconds
   */
  static void await(String operatorUrl, String daemon) {
    ControlClient control = new ControlClient();
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    ControlClient.Reply reply = control.get(operatorUrl + "/readyz");
    while (reply.status() != OK) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "daemon " + daemon + " did not become ready in time; last answer of /readyz: " + reply);
      }
      ManagedProcess.pause(POLL_INTERVAL);
      reply = control.get(operatorUrl + "/readyz");
    }
  }
}
