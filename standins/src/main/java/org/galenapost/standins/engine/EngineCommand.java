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

/** Options of the model engine. */
@Parameters(commandDescription = "serves a model engine")
public final class EngineCommand extends StandinCommand {

  private static final int CRASH_EXIT_CODE = 134;

  @Parameter(names = "--tokens-per-second", description = "rate shared by running generations")
  private double tokensPerSecond = 1_000;

  @Parameter(names = "--slots", description = "generations that run at once")
  private int slots = 32;

  @Parameter(names = "--max-waiting", description = "generations that may wait for a slot")
  private int maxWaiting = 256;

  @Parameter(names = "--token-interval-ms", description = "shortest time between two tokens")
  private double tokenIntervalMs = 20;

  @Parameter(names = "--prefill-tokens-per-second", description = "rate of reading prompts")
  private double prefillTokensPerSecond = 20_000;

  @Parameter(names = "--cache-blocks", description = "blocks of prefixes that the cache holds")
  private int cacheBlocks = 4_096;

  @Parameter(names = "--event-lag-ms", description = "delay of cache events")
  private long eventLagMs = 200;

  @Parameter(names = "--event-loss", description = "share of cache events that is lost, 0 to 1")
  private double eventLoss;

  @Parameter(names = "--report-lag-ms", description = "age of load reports")
  private long reportLagMs = 200;

  @Parameter(
      names = "--checks-fencing",
      arity = 1,
      description = "refuses orders with an old number")
  private boolean checksFencing = true;

  @Parameter(names = "--load-ms", description = "time to load a model or adapter")
  private long loadMs = 500;

  @Parameter(names = "--crash-marker", description = "text in a prompt that crashes the engine")
  private String crashMarker = "";

  @Parameter(names = "--seed", description = "seed of whatever is random")
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

  /** Reads a model's specification. */
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
