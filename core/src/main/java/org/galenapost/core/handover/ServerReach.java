package org.galenapost.core.handover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Finds out whether this daemon reaches the servers of each service. It reaches none of them while
 * its links to all servers are cut, which answers other calls than the loss of single servers. Once
 * calls to several servers have failed, connections to a few servers are opened; if none is
 * accepted, the service counts as not reached until connections are accepted again several times.
 * No call is spent on finding out. Not safe for use by several threads.
 */
public final class ServerReach {

  /** A few servers may be lost at once; that all of these are lost while others live is rare. */
  private static final int PROBED_SERVERS = 3;

  /** Within this time, failures of two servers raise the suspicion. */
  private static final Duration SUSPICION_WINDOW = Duration.ofSeconds(1);

  private static final int SUSPICIOUS_SERVERS = 2;

  /** Bounds the connections that checks open while failures go on. */
  private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(300);

  /** How often a service that is not reached is checked again. */
  private static final Duration RECHECK_PERIOD = Duration.ofMillis(400);

  /** Successful checks in a row until a service counts as reached, against flapping. */
  private static final int CHECKS_UNTIL_REACHED = 2;

  private final InstanceDirectory directory;
  private final Prober prober;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomSource random;
  private final Listener listener;
  private final Map<String, ServiceState> states = new HashMap<>();

  /**
   * Creates a detector that considers every service as reached.
   *
   * @param directory the known servers
   * @param prober opens connections to servers
   * @param scheduler runs the checks
   * @param clock elapsed time
   * @param random chooses the servers to probe
   * @param listener notified when a service is no longer reached, or again
   */
  public ServerReach(
      InstanceDirectory directory,
      Prober prober,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomSource random,
      Listener listener) {
    this.directory = directory;
    this.prober = prober;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.listener = listener;
  }

  /** Opens a connection to a server to find out whether its host accepts it. */
  @FunctionalInterface
  public interface Prober {
    /** Probes a server; the result is reported within a fraction of a second. */
    void probe(ServerInstance server, Consumer<Boolean> onResult);
  }

  /** Is notified of changes. */
  @FunctionalInterface
  public interface Listener {
    /** Handles that the servers of a service are reached again, or no longer. */
    void onChange(String service, boolean isReached);
  }

  /** Returns whether this daemon reaches servers of a service, as far as it knows. */
  public boolean isReached(String service) {
    ServiceState state = states.get(service);
    return state == null || state.isReached;
  }

  /** Returns the services of which this daemon reaches no server. */
  public Set<String> unreachedServices() {
    Set<String> unreached = new TreeSet<>();
    states.forEach(
        (service, state) -> {
          if (!state.isReached) {
            unreached.add(service);
          }
        });
    return unreached;
  }

  /** Records that a server did not accept a connection, or fell silent. */
  public void recordFailure(ServerInstance server) {
    ServiceState state = stateOf(server.service());
    state.failureNanos.put(server.key(), clock.nanos());
    state
        .failureNanos
        .values()
        .removeIf(nanos -> clock.since(nanos).compareTo(SUSPICION_WINDOW) > 0);
    int knownServers = candidates(server.service()).size();
    if (state.failureNanos.size() >= Math.min(SUSPICIOUS_SERVERS, knownServers)) {
      check(server.service());
    }
  }

  /** Checks a service, unless a check is in progress or has just ended. */
  public void check(String service) {
    ServiceState state = stateOf(service);
    boolean isRecent =
        state.wasChecked && clock.since(state.checkedNanos).compareTo(MIN_CHECK_INTERVAL) < 0;
    if (state.isReached && !isRecent && !state.isChecking) {
      startCheck(service, state);
    }
  }

  /**
   * Checks a service like {@link #check(String)} and reports the result.
   *
   * @param service the service
   * @param onResult receives whether this daemon reaches servers of the service, at once if that
   *     has just been checked
   */
  public void check(String service, Consumer<Boolean> onResult) {
    check(service);
    ServiceState state = stateOf(service);
    if (state.isChecking) {
      state.waiting.add(onResult);
    } else {
      onResult.accept(state.isReached);
    }
  }

  private void startCheck(String service, ServiceState state) {
    state.wasChecked = true;
    state.checkedNanos = clock.nanos();
    List<ServerInstance> sample = sample(service);
    if (sample.isEmpty()) {
      onChecked(service, state, state.isReached);
      return;
    }
    state.isChecking = true;
    Check check = new Check(service, state, sample.size());
    sample.forEach(server -> prober.probe(server, check::onResult));
  }

  private List<ServerInstance> sample(String service) {
    List<ServerInstance> remaining = candidates(service);
    List<ServerInstance> sample = new ArrayList<>();
    while (!remaining.isEmpty() && sample.size() < PROBED_SERVERS) {
      sample.add(remaining.remove(random.nextIndex(remaining.size())));
    }
    return sample;
  }

  private List<ServerInstance> candidates(String service) {
    List<ServerInstance> servers = new ArrayList<>(directory.ready(service));
    if (servers.isEmpty()) {
      servers.addAll(directory.lapsed(service));
    }
    return servers;
  }

  private void onChecked(String service, ServiceState state, boolean isAnyReached) {
    state.isChecking = false;
    if (state.isReached) {
      if (!isAnyReached) {
        state.isReached = false;
        state.successfulChecks = 0;
        listener.onChange(service, false);
      }
    } else {
      state.successfulChecks = isAnyReached ? state.successfulChecks + 1 : 0;
      if (state.successfulChecks >= CHECKS_UNTIL_REACHED) {
        state.isReached = true;
        state.failureNanos.clear();
        listener.onChange(service, true);
      }
    }
    List<Consumer<Boolean>> waiting = List.copyOf(state.waiting);
    state.waiting.clear();
    waiting.forEach(onResult -> onResult.accept(state.isReached));
    if (!state.isReached) {
      scheduler.schedule(RECHECK_PERIOD, () -> startCheck(service, state));
    }
  }

  private ServiceState stateOf(String service) {
    return states.computeIfAbsent(service, name -> new ServiceState());
  }

  /** One round of probes. */
  private final class Check {
    private final String service;
    private final ServiceState state;
    private int pendingProbes;
    private boolean isConcluded;

    Check(String service, ServiceState state, int probes) {
      this.service = service;
      this.state = state;
      this.pendingProbes = probes;
    }

    void onResult(boolean isAccepted) {
      pendingProbes--;
      if (!isConcluded && (isAccepted || pendingProbes == 0)) {
        isConcluded = true;
        onChecked(service, state, isAccepted);
      }
    }
  }

  private static final class ServiceState {
    private final Map<InstanceKey, Long> failureNanos = new HashMap<>();
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean isReached = true;
    private boolean isChecking;
    private boolean wasChecked;
    private long checkedNanos;
    private int successfulChecks;
  }
}
