package org.galenapost.standins.engine;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;
import org.galenapost.standins.engine.EngineSettings.ModelSpec;

/** The subcommand {@code engine} with the options of the model engine's stand-in. */
@Parameters(commandDescription = "serves a model engine")
public final class EngineCommand extends StandinCommand {

  /** The exit code of a process that SIGABRT ended: 128 + 6. */
  private static final int CRASH_EXIT_CODE = 134;

  @Parameter(
      names = "--tokens-per-second",
      description = "token rate that running generations share")
  private double tokensPerSecond = 1_000;

  @Parameter(names = "--slots", description = "generations that run concurrently")
  private int slots = 32;

  @Parameter(names = "--max-waiting", description = "generations that may queue for a slot")
  private int maxWaiting = 256;

  @Parameter(names = "--token-interval-ms", description = "minimum interval between tokens")
  private double tokenIntervalMs = 20;

  @Parameter(names = "--prefill-tokens-per-second", description = "token rate of prefill")
  private double prefillTokensPerSecond = 20_000;

  @Parameter(names = "--cache-blocks", description = "capacity of the prefix cache")
  private int cacheBlocks = 4_096;

  @Parameter(names = "--event-lag-ms", description = "delay until cache events are readable")
  private long eventLagMs = 200;

  @Parameter(names = "--event-loss", description = "probability that a cache event is lost, 0 to 1")
  private double eventLoss;

  @Parameter(
      names = "--report-lag-ms",
      description = "interval between load reports; 0 for current ones")
  private long reportLagMs = 200;

  @Parameter(
      names = "--checks-fencing",
      arity = 1,
      description = "rejects orders with a stale fencing number")
  private boolean checksFencing = true;

  @Parameter(names = "--load-ms", description = "time to load a model or adapter")
  private long loadMs = 500;

  @Parameter(names = "--crash-marker", description = "text in a prompt that crashes the engine")
  private String crashMarker = "";

  @Parameter(names = "--seed", description = "seed of the random loss of cache events")
  private long seed = 1;

  @Parameter(
      names = "--model",
      converter = ModelConverter.class,
      description = "MODEL:VERSION[:ADAPTER+ADAPTER], may be repeated; m1:v1 if absent")
  private List<ModelSpec> models = new ArrayList<>();

  @Override
  public String role() {
    return "engine";
  }

  @Override
  public Standin create() {
    return new EngineStandin(port, settings(), () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE));
  }

  private EngineSettings settings() {
    return new EngineSettings(
        tokensPerSecond,
        slots,
        maxWaiting,
        tokenIntervalMs,
        prefillTokensPerSecond,
        cacheBlocks,
        eventLagMs,
        eventLoss,
        reportLagMs,
        checksFencing,
        loadMs,
        crashMarker,
        seed,
        models.isEmpty() ? List.of(ModelSpec.parse("m1:v1")) : models);
  }

  /** Parses a model's specification. */
  static final class ModelConverter implements IStringConverter<ModelSpec> {

    @Override
    public ModelSpec convert(String text) {
      try {
        return ModelSpec.parse(text);
      } catch (IllegalArgumentException e) {
        throw new ParameterException(e.getMessage());
      }
    }
  }
}
