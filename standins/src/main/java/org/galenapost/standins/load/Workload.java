package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.standins.relay.SocketAddresses;

/**
 * A workload: classes of requests with their arrival rates, and planned failures.
 *
 * @param seed the seed of the random arrivals and prompts
 * @param durationMs the time in milliseconds during which requests arrive
 * @param warmUpMs the warm-up in milliseconds; requests that start in it are verified, but their
 *     latencies are not reported
 * @param drainMs the time in milliseconds that requests have to finish after the last arrival
 * @param interruptionMs the shortest gap between two tokens, in milliseconds, that counts as an
 *     interruption
 * @param reconnect whether to resume a broken stream with its last event id
 * @param targets caller ports, as {@code IP:PORT}, used round-robin
 * @param engines engines whose counters are polled, as {@code IP:PORT}
 * @param services plain services whose run counters are checked, as {@code IP:PORT}
 * @param classes the classes of requests
 * @param failures the planned failures
 */
public record Workload(
    long seed,
    long durationMs,
    long warmUpMs,
    long drainMs,
    long interruptionMs,
    boolean reconnect,
    List<String> targets,
    List<String> engines,
    List<String> services,
    List<RequestClass> classes,
    List<PlannedFailure> failures) {

  /** The maximum duration of a run, in milliseconds. */
  public static final long MAX_DURATION_MS = 3_600_000;

  private static final long DEFAULT_INTERRUPTION_MS = 250;
  private static final String HTTP = "http://";

  /** Copies the lists; absent lists become empty. */
  public Workload {
    interruptionMs = interruptionMs <= 0 ? DEFAULT_INTERRUPTION_MS : interruptionMs;
    targets = copy(targets);
    engines = copy(engines);
    services = copy(services);
    classes = copy(classes);
    failures = copy(failures);
  }

  private static <T> List<T> copy(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }

  /** Returns one message per invalid value. */
  public List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    if (durationMs <= 0 || durationMs > MAX_DURATION_MS) {
      errors.add("duration_ms: expected 1 to " + MAX_DURATION_MS + ", but found " + durationMs);
    }
    if (drainMs < 0 || drainMs > MAX_DURATION_MS) {
      errors.add("drain_ms: expected 0 to " + MAX_DURATION_MS + ", but found " + drainMs);
    }
    if (warmUpMs < 0 || warmUpMs >= MAX_DURATION_MS) {
      errors.add("warm_up_ms: expected 0 or more, but found " + warmUpMs);
    }
    if (targets.isEmpty()) {
      errors.add("targets: expected at least one");
    }
    if (classes.isEmpty()) {
      errors.add("classes: expected at least one");
    }
    classes.forEach(requestClass -> errors.addAll(requestClass.validationErrors()));
    targets.forEach(address -> checkLoopback("targets", address, errors));
    engines.forEach(address -> checkLoopback("engines", address, errors));
    services.forEach(address -> checkLoopback("services", address, errors));
    failures.forEach(failure -> checkUrl(failure.post(), errors));
    return errors;
  }

  private static void checkLoopback(String field, String address, List<String> errors) {
    try {
      SocketAddresses.parseLoopback(address);
    } catch (IllegalArgumentException e) {
      errors.add(field + ": " + e.getMessage());
    }
  }

  private static void checkUrl(String url, List<String> errors) {
    if (url == null || !url.startsWith(HTTP)) {
      errors.add("failures.post: expected an http URL, but found " + url);
      return;
    }
    checkLoopback("failures.post", url.substring(HTTP.length()).split("/", 2)[0], errors);
  }
}
