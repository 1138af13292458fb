package org.galenapost.standins.load;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.IParameterSplitter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The options of {@code galenapost-load}; lists replace those of the workload file. */
final class LoadOptions {

  @Parameter(names = "--workload", required = true, description = "the workload file")
  private Path workload;

  @Parameter(names = "--target", description = "IP:PORT of a caller port, may be repeated")
  private List<String> targets = new ArrayList<>();

  @Parameter(names = "--engine", description = "IP:PORT of an engine, may be repeated")
  private List<String> engines = new ArrayList<>();

  @Parameter(names = "--service", description = "IP:PORT of a plain service, may be repeated")
  private List<String> services = new ArrayList<>();

  @Parameter(
      names = "--failure",
      splitter = NoSplitter.class,
      converter = FailureConverter.class,
      description = "'AT_MS URL [JSON]', added to those of the workload, may be repeated")
  private List<PlannedFailure> failures = new ArrayList<>();

  @Parameter(names = "--seed", description = "replaces the workload's seed")
  private Long seed;

  @Parameter(names = "--duration-ms", description = "replaces the workload's duration")
  private Long durationMs;

  @Parameter(names = "--rate-factor", description = "multiplies all rates")
  private double rateFactor = 1;

  @Parameter(names = "--no-reconnect", description = "leaves broken streams broken")
  private boolean isReconnectDisabled;

  @Parameter(
      names = {"-o", "--output"},
      description = "file that receives the report as JSON")
  private Path output;

  @Parameter(names = "--plot", description = "file that receives the plot as PNG")
  private Path plot;

  @Parameter(names = "--help", help = true, description = "shows the options")
  private boolean isHelp;

  Path workload() {
    return workload;
  }

  Path output() {
    return output;
  }

  Path plot() {
    return plot;
  }

  boolean isHelp() {
    return isHelp;
  }

  /** Returns the workload with what the command line replaces. */
  Workload applyTo(Workload file) {
    List<RequestClass> classes =
        file.classes().stream().map(one -> one.withRate(one.ratePerSecond() * rateFactor)).toList();
    return new Workload(
        seed == null ? file.seed() : seed,
        durationMs == null ? file.durationMs() : durationMs,
        file.warmUpMs(),
        file.drainMs(),
        file.interruptionMs(),
        file.reconnect() && !isReconnectDisabled,
        targets.isEmpty() ? file.targets() : targets,
        engines.isEmpty() ? file.engines() : engines,
        services.isEmpty() ? file.services() : services,
        classes,
        Stream.concat(file.failures().stream(), failures.stream()).toList());
  }

  /** Leaves commas in JSON alone. */
  static final class NoSplitter implements IParameterSplitter {

    @Override
    public List<String> split(String value) {
      return List.of(value);
    }
  }

  /** Reads a planned failure. */
  static final class FailureConverter implements IStringConverter<PlannedFailure> {

    @Override
    public PlannedFailure convert(String text) {
      try {
        return PlannedFailure.parse(text);
      } catch (IllegalArgumentException e) {
        throw new ParameterException(e.getMessage());
      }
    }
  }
}
