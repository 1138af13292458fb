package org.galenapost.standins.load;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.IParameterSplitter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The command-line options of {@code galenapost-load}. */
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

  @Parameter(names = "--rate-factor", description = "multiplies all arrival rates")
  private double rateFactor = 1;

  @Parameter(names = "--no-reconnect", description = "does not resume broken streams")
  private boolean isReconnectDisabled;

  @Parameter(
      names = {"-o", "--output"},
      description = "writes the report to this file as JSON")
  private Path output;

  @Parameter(names = "--plot", description = "writes the plot to this file as PNG")
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

  /**
   * Returns the workload with the values of the command line. Addresses replace those of the file,
   * failures are added to them, and rates are multiplied.
   */
  Workload applyTo(Workload file) {
    List<RequestClass> classes =
        file.classes().stream()
            .map(requestClass -> requestClass.withRate(requestClass.ratePerSecond() * rateFactor))
            .toList();
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

  /** Keeps the value in one piece, because its JSON may contain commas. */
  static final class NoSplitter implements IParameterSplitter {

    @Override
    public List<String> split(String value) {
      return List.of(value);
    }
  }

  /** Parses a planned failure. */
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
