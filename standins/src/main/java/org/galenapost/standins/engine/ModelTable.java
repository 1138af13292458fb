package org.galenapost.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The loaded models and the engine's role, as orders change them. Runs on the event loop. */
final class ModelTable {

  private static final String ROLE_SERVE = "serve";

  private final EngineSettings settings;
  private final ScheduledExecutorService loop;
  private final List<LoadedModel> models = new ArrayList<>();
  private final Map<String, Long> fencingNumberByTask = new HashMap<>();
  private String role = ROLE_SERVE;
  private long lastFencingNumber;
  private long ordersApplied;
  private long ordersRefused;

  ModelTable(EngineSettings settings, ScheduledExecutorService loop) {
    this.settings = settings;
    this.loop = loop;
    for (EngineSettings.ModelSpec spec : settings.models()) {
      LoadedModel model = new LoadedModel(spec.model(), spec.version());
      model.adapters.addAll(spec.adapters());
      models.add(model);
    }
  }

  boolean isServing() {
    return role.equals(ROLE_SERVE);
  }

  /** Returns the version to run, or nothing if the model or adapter is not loaded. */
  Optional<String> resolveVersion(
      String model, Optional<String> version, Optional<String> adapter) {
    return models.stream()
        .filter(loaded -> loaded.name.equals(model) && loaded.loadsInProgress == 0)
        .filter(loaded -> version.map(loaded.version::equals).orElse(true))
        .filter(loaded -> adapter.map(loaded.adapters::contains).orElse(true))
        .reduce((older, newer) -> newer)
        .map(loaded -> loaded.version);
  }

  /** Applies an order, or returns the current fencing number if the order's number is old. */
  Optional<EngineOrder.FencedResponse> apply(EngineOrder order) {
    long current = fencingNumberByTask.getOrDefault(order.task(), 0L);
    if (settings.checksFencing() && order.fencingNumber() < current) {
      ordersRefused++;
      return Optional.of(new EngineOrder.FencedResponse(current));
    }
    fencingNumberByTask.merge(order.task(), order.fencingNumber(), Math::max);
    lastFencingNumber = order.fencingNumber();
    ordersApplied++;
    execute(order);
    return Optional.empty();
  }

  private void execute(EngineOrder order) {
    switch (order.action()) {
      case LOAD_MODEL -> loadModel(order);
      case UNLOAD_MODEL -> models.removeIf(model -> model.matches(order.model(), order.version()));
      case LOAD_ADAPTER -> loadAdapter(order);
      case CHANGE_ROLE -> role = order.role();
      default -> throw new IllegalStateException("unknown action " + order.action());
    }
  }

  private void loadModel(EngineOrder order) {
    if (find(order).isPresent()) {
      return;
    }
    LoadedModel model = new LoadedModel(order.model(), order.version());
    models.add(model);
    model.loadsInProgress++;
    scheduleAfterLoad(() -> model.loadsInProgress--);
  }

  private void loadAdapter(EngineOrder order) {
    find(order).ifPresent(model -> scheduleAfterLoad(() -> model.adapters.add(order.adapter())));
  }

  private Optional<LoadedModel> find(EngineOrder order) {
    return models.stream().filter(model -> model.matches(order.model(), order.version())).findFirst();
  }

  private void scheduleAfterLoad(Runnable action) {
    loop.schedule(action, settings.loadMs(), TimeUnit.MILLISECONDS);
  }

  State state() {
    List<ModelState> states = models.stream().map(LoadedModel::state).toList();
    return new State(states, role, lastFencingNumber, ordersApplied, ordersRefused);
  }

  /**
   * What the engine serves.
   *
   * @param models the models
   * @param role the role
   * @param fencingNumber the number of the last order that was applied
   * @param ordersApplied orders applied since the start
   * @param ordersRefused orders refused for an old number since the start
   */
  record State(
      List<ModelState> models,
      String role,
      long fencingNumber,
      long ordersApplied,
      long ordersRefused) {}

  /**
   * One model.
   *
   * @param model its name
   * @param version its version
   * @param adapters its loaded adapters
   * @param loading whether it is still loading
   */
  record ModelState(String model, String version, List<String> adapters, boolean loading) {}

  private static final class LoadedModel {

    private final String name;
    private final String version;
    private final TreeSet<String> adapters = new TreeSet<>();
    private int loadsInProgress;

    private LoadedModel(String name, String version) {
      this.name = name;
      this.version = version;
    }

    private boolean matches(String otherName, String otherVersion) {
      return name.equals(otherName) && version.equals(otherVersion);
    }

    private ModelState state() {
      return new ModelState(name, version, List.copyOf(adapters), loadsInProgress > 0);
    }
  }
}
