package org.galenapost.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.core.dispatch.UseReport.InstanceUse;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;

/**
 * Sums the use of each server over all daemons. The use by this daemon is exact; the use by the
 * others is that of their latest reports. Not safe for use by several threads.
 */
public final class ServerUseTracker {

  private final Map<String, ServerUse> own = new HashMap<>();
  private Map<String, ServerUse> lastPolled = Map.of();
  private final Map<String, Map<String, ServerUse>> reported = new HashMap<>();
  private final Map<String, ServerUse> totals = new HashMap<>();
  private Runnable onChange = () -> {};
  private boolean isChanged;

  /** Returns the use of a server by all daemons. */
  public ServerUse total(ServerInstance instance) {
    return totals.getOrDefault(instance.key().text(), ServerUse.NONE);
  }

  /** Reserves resources on a server. */
  public Reservation reserve(InstanceKey instance, ServerUse use) {
    return new Reservation(instance.text(), use);
  }

  /** Applies another daemon's report, which replaces its earlier one. */
  public void applyReport(String daemonId, UseReport report) {
    removeReport(daemonId);
    Map<String, ServerUse> uses = new HashMap<>();
    for (InstanceUse entry : report.uses()) {
      uses.merge(entry.instance(), entry.use(), ServerUse::plus);
    }
    uses.forEach((instance, use) -> totals.merge(instance, use, ServerUse::plus));
    reported.put(daemonId, uses);
  }

  /** Removes the reports of all daemons except the given ones. */
  public void retainOnly(Set<String> liveDaemonIds) {
    Set<String> departed =
        reported.keySet().stream()
            .filter(id -> !liveDaemonIds.contains(id))
            .collect(Collectors.toSet());
    departed.forEach(this::removeReport);
  }

  private void removeReport(String daemonId) {
    Map<String, ServerUse> previous = reported.remove(daemonId);
    if (previous != null) {
      previous.forEach((instance, use) -> subtract(totals, instance, use));
    }
  }

  private static void subtract(Map<String, ServerUse> uses, String instance, ServerUse use) {
    uses.computeIfPresent(
        instance,
        (key, total) -> {
          ServerUse remaining = total.minus(use);
          return remaining.equals(ServerUse.NONE) ? null : remaining;
        });
  }

  /**
   * Sets the listener that runs on the first change of this daemon's uses after each {@link
   * #pollChangedReport()}.
   */
  public void onChange(Runnable listener) {
    onChange = listener;
  }

  private void markChanged() {
    if (!isChanged) {
      isChanged = true;
      onChange.run();
    }
  }

  /**
   * Returns a report of this daemon's uses if they differ from those of the last call, else an
   * empty list. Uses that began and ended in between, as those of short calls do, need no report.
   */
  public List<UseReport> pollChangedReport() {
    isChanged = false;
    if (own.equals(lastPolled)) {
      return List.of();
    }
    lastPolled = Map.copyOf(own);
    return List.of(currentReport());
  }

  /** Returns a report of this daemon's uses. */
  public UseReport currentReport() {
    return new UseReport(
        own.entrySet().stream()
            .map(entry -> new InstanceUse(entry.getKey(), entry.getValue()))
            .toList());
  }

  /** Resources reserved on one server, released once. */
  public final class Reservation {

    private final String instance;
    private ServerUse use;
    private boolean isReleased;

    private Reservation(String instance, ServerUse use) {
      this.instance = instance;
      this.use = use;
      add(use);
    }

    /** Records that the engine has processed the prompt. */
    public void markPromptProcessed() {
      if (!isReleased && use.unreadTokens() > 0) {
        remove(use);
        use = new ServerUse(use.calls(), 0, use.memoryTokens());
        add(use);
      }
    }

    /** Releases the resources; a second call does nothing. */
    public void release() {
      if (!isReleased) {
        isReleased = true;
        remove(use);
      }
    }

    private void add(ServerUse added) {
      own.merge(instance, added, ServerUse::plus);
      totals.merge(instance, added, ServerUse::plus);
      markChanged();
    }

    private void remove(ServerUse removed) {
      subtract(own, instance, removed);
      subtract(totals, instance, removed);
      markChanged();
    }
  }
}
