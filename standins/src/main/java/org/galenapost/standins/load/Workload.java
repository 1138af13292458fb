package org.galenapost.standins.load;

import java.util.ArrayList;
import java.util.List;
import org.galenapost.standins.relay.SocketAddresses;

/**
 * A workload: who asks for what, how often, and what fails meanwhile.
 *
 * @param seed the seed of arrivals and prompts
 * @param durationMs how long requests arrive
 * @param warmUpMs requests that start before it are checked, but their latencies not reported
 * @param drainMs how long answers may take after the last arrival
 * @param interruptionMs a time between two tokens from which a stream counts as interrupted
 * @param reconnect whether a broken stream is continued with its last event id
 * @param targets caller ports, as {@code IP:PORT}; requests go to them in turn
 * @param engines engines whose work is counted, as {@code IP:PORT}
 * @param services plain services whose runs are checked, as {@code IP:PORT}
 * @param classes the classes of requests
 * @param failures what fails when
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

  /** The longest run. */
  public static final long MAX_DURATION_MS = 3_600_000;

  private static final long DEFAULT_INTERRUPTION_MS = 250;
  private static final String HTTP = "http://";

  /** Copies the lists; absent ones are empty. */
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

  /** Returns what is wrong with it, one line each. */
  public List<String> validationErrors() {
    List<String> faults = new ArrayList<>();
    if (durationMs <= 0 || durationMs > MAX_DURATION_MS) {
      faults.add("duration_ms: expected 1 to " + MAX_DURATION_MS + ", but found " + durationMs);
    }
    if (drainMs < 0 || drainMs > MAX_DURATION_MS) {
      faults.add("drain_ms: expected 0 to " + MAX_DURATION_MS + ", but found " + drainMs);
    }
    if (warmUpMs < 0 || warmUpMs >= MAX_DURATION_MS) {
      faults.add("warm_up_ms: expected 0 or more, but found " + warmUpMs);
    }
    if (targets.isEmpty()) {
      faults.add("targets: expected at least one");
    }
    if (classes.isEmpty()) {
      faults.add("classes: expected at least one");
    }
    classes.forEach(one -> faults.addAll(one.validationErrors()));
    targets.forEach(address -> checkLoopback("targets", address, faults));
    engines.forEach(address -> checkLoopback("engines", address, faults));
    services.forEach(address -> checkLoopback("services", address, faults));
    failures.forEach(failure -> checkUrl(failure.post(), faults));
    return faults;
  }

  private static void checkLoopback(String field, String address, List<String> faults) {
    try {
      SocketAddresses.parseLoopback(address);
    } catch (IllegalArgumentException e) {
      faults.add(field + ": " + e.getMessage());
    }
  }

  private static void checkUrl(String url, List<String> faults) {
    if (url == null || !url.startsWith(HTTP)) {
      faults.add("failures.post: expected an http URL, but found " + url);
      return;
    }
    checkLoopback("failures.post", url.substring(HTTP.length()).split("/", 2)[0], faults);
  }
}
