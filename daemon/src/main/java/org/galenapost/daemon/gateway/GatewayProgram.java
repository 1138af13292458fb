package org.galenapost.daemon.gateway;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToIntFunction;
import org.apache.logging.log4j.LogManager;
import org.galenapost.daemon.ExitCode;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.SettingsFault;

/** Runs a gateway as a process of its own. */
public final class GatewayProgram {

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final String PROGRAM = "galenapost-gateway";

  /** Internal result of a training run; unlike a success, it ends the process. */
  private static final int TRAINING_RUN_FINISHED = -1;

  private final GatewayAdapter adapter;
  private final PrintStream out;
  private final PrintStream err;
  private final HangUpSignal hangUp = new HangUpSignal();

  private GatewayProgram(GatewayAdapter adapter, PrintStream out, PrintStream err) {
    this.adapter = adapter;
    this.out = out;
    this.err = err;
  }

  /**
   * Starts a gateway that serves until SIGTERM, and returns once it serves. Ends the process if the
   * gateway cannot start.
   *
   * @param adapter connects the gateway to its platform
   * @param args the command line
   */
  public static void run(GatewayAdapter adapter, String... args) {
    run(adapter, program -> program.start(args));
  }

  /**
   * Starts a gateway like {@link #run(GatewayAdapter, String...)}, but without a command line,
   * whose parser takes a large part of the time to start.
   *
   * @param adapter connects the gateway to its platform
   * @param settings the settings file
   */
  public static void run(GatewayAdapter adapter, Path settings) {
    run(adapter, program -> program.readSettingsAndServe(settings, false));
  }

  private static void run(GatewayAdapter adapter, ToIntFunction<GatewayProgram> start) {
    GatewayProgram program = new GatewayProgram(adapter, System.out, System.err);
    program.hangUp.install();
    int code = start.applyAsInt(program);
    if (code != ExitCode.SUCCESS) {
      LogManager.shutdown();
      System.exit(code == TRAINING_RUN_FINISHED ? ExitCode.SUCCESS : code);
    }
  }

  /**
   * Runs a command line that starts no gateway, for example one with {@code --check}.
   *
   * @param adapter connects the gateway to its platform
   * @param out receives results
   * @param err receives faults
   * @param args the command line
   * @return the exit code
   */
  public static int check(
      GatewayAdapter adapter, PrintStream out, PrintStream err, String... args) {
    return new GatewayProgram(adapter, out, err).start(args);
  }

  private int start(String... args) {
    GatewayArguments arguments = new GatewayArguments();
    JCommander commander =
        JCommander.newBuilder().programName(PROGRAM).addObject(arguments).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return ExitCode.USAGE;
    }
    if (arguments.isHelp()) {
      commander.usage();
      return ExitCode.SUCCESS;
    }
    if (arguments.isTrainingRun()) {
      new ClassArchiveTraining(adapter).run();
      return TRAINING_RUN_FINISHED;
    }
    if (arguments.settings().isEmpty()) {
      err.println(PROGRAM + ": the option --settings is required");
      return ExitCode.USAGE;
    }
    return readSettingsAndServe(Path.of(arguments.settings()), arguments.isCheck());
  }

  private int readSettingsAndServe(Path file, boolean isCheck) {
    Either<List<SettingsFault>, GatewaySettings> settings = GatewaySettings.read(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(fault -> err.println(fault.message()));
      return ExitCode.USAGE;
    }
    if (isCheck) {
      out.println(file + ": no fault found");
      return ExitCode.SUCCESS;
    }
    return serve(file, settings.get());
  }

  private int serve(Path file, GatewaySettings settings) {
    ServerSocketChannel callerSocket;
    try {
      callerSocket = bindCaller(settings);
    } catch (IOException e) {
      err.println(PROGRAM + ": cannot listen for callers: " + e.getMessage());
      return ExitCode.START_FAILED;
    }
    GatewayDaemon daemon = GatewayBuilder.build(settings, adapter, callerSocket);
    SettingsReload reload = new SettingsReload(file, settings, daemon::reload);
    hangUp.setAction(reload::onSignal);
    try {
      daemon.start();
    } catch (ServiceStartException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return ExitCode.START_FAILED;
    }
    reload.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    GatewayLog.started(settings, daemon);
    return ExitCode.SUCCESS;
  }

  /**
   * Binds the caller address before everything else, including logging. A connection that waits in
   * the backlog is served shortly afterwards, but a caller whose connection is refused gives up.
   */
  private static ServerSocketChannel bindCaller(GatewaySettings settings) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    return socket.bind(settings.caller().address().toSocketAddress(), ACCEPT_BACKLOG);
  }

  private static void shutDown(GatewayDaemon daemon) {
    GatewayLog.shutdownRequested();
    daemon.drainAndStop();
    GatewayLog.stopped();
    LogManager.shutdown();
    Runtime.getRuntime().halt(ExitCode.SUCCESS);
  }
}
