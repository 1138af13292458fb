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
 * Adds up what all daemons have in hand at each server. The daemon's own part is exact, the others'
 * are as of their latest reports. Used by one thread.
 */
public final class ServerUseTracker {

  private final Map<String, ServerUse> own = new HashMap<>();
  private final Map<String, Map<String, ServerUse>> reported = new HashMap<>();
  private final Map<String, ServerUse> totals = new HashMap<>();
  private Runnable onChange = () -> {};
  private boolean isChanged;

  /** Returns what all daemons have in hand at a server. */
  public ServerUse total(ServerInstance instance) {
    return totals.getOrDefault(instance.key().text(), ServerUse.NONE);
  }

  /** Begins to use a server. */
  public Reservation reserve(InstanceKey instance, ServerUse use) {
    return new Reservation(instance.text(), use);
  }

  /** Takes another daemon's report over, in place of its earlier one. */
  public void applyReport(String daemonId, UseReport report) {
    removeReport(daemonId);
    Map<String, ServerUse> uses = new HashMap<>();
    for (InstanceUse entry : report.uses()) {
      uses.merge(entry.instance(), entry.use(), ServerUse::plus);
    }
    uses.forEach((instance, use) -> totals.merge(instance, use, ServerUse::plus));
    reported.put(daemonId, uses);
  }

  /** Forgets the reports of daemons that are no longer live. */
  public void retainOnly(Set<String> liveDaemonIds) {
    Set<String> gone =
        reported.keySet().stream()
            .filter(id -> !liveDaemonIds.contains(id))
            .collect(Collectors.toSet());
    gone.forEach(this::removeReport);
  }

  private void removeReport(String daemonId) {
    Map<String, ServerUse> before = reported.remove(daemonId);
    if (before != null) {
      before.forEach((instance, use) -> subtract(totals, instance, use));
    }
  }

  private static void subtract(Map<String, ServerUse> uses, String instance, ServerUse use) {
    uses.computeIfPresent(
        instance,
        (key, total) -> {
          ServerUse rest = total.minus(use);
          return rest.equals(ServerUse.NONE) ? null : rest;
        });
  }

  /** Sets what runs on the first change of the daemon's own uses after each report taken. */
  public void onChange(Runnable listener) {
    onChange = listener;
  }

  private void markChanged() {
    if (!isChanged) {
      isChanged = true;
      onChange.run();
    }
  }

  /** Returns the daemon's own uses if they changed since the last call, else nothing. */
  public List<UseReport> pollChangedReport() {
    if (!isChanged) {
      return List.of();
    }
    isChanged = false;
    return List.of(currentReport());
  }

  /** Returns the daemon's own uses. */
  public UseReport currentReport() {
    return new UseReport(
        own.entrySet().stream()
            .map(entry -> new InstanceUse(entry.getKey(), entry.getValue()))
            .toList());
  }

  /** A use of one server that may change and ends once. */
  public final class Reservation {

    private final String instance;
    private ServerUse use;
    private boolean isOver;

    private Reservation(String instance, ServerUse use) {
      this.instance = instance;
      this.use = use;
      add(use);
    }

    /** Records that the engine has read the prompt. */
    public void markPromptProcessed() {
      if (!isOver && use.unreadTokens() > 0) {
        remove(use);
        use = new ServerUse(use.calls(), 0, use.memoryTokens());
        add(use);
      }
    }

    /** Ends the use; a second call does nothing. */
    public void release() {
      if (!isOver) {
        isOver = true;
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
