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
import org.apache.logging.log4j.LogManager;
import org.galenapost.daemon.ExitCode;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.GatewaySettings;
import org.galenapost.daemon.settings.SettingsFault;

/** Runs a gateway as a program. */
public final class GatewayProgram {

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final String PROGRAM = "galenapost-gateway";

  /** Told apart from success, after which the gateway goes on serving. */
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
   * Runs a gateway until it gets SIGTERM; returns once it serves, or ends the process if it cannot.
   *
   * @param adapter the platform's manner of speaking
   * @param args the command line
   */
  public static void run(GatewayAdapter adapter, String... args) {
    GatewayProgram program = new GatewayProgram(adapter, System.out, System.err);
    program.hangUp.install();
    int code = program.start(args);
    if (code != ExitCode.SUCCESS) {
      LogManager.shutdown();
      System.exit(code == TRAINING_RUN_FINISHED ? ExitCode.SUCCESS : code);
    }
  }

  /** Checks a command line without starting a gateway, and returns the exit code. */
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
    if (arguments.isRehearsal()) {
      new ClassArchiveTraining(adapter).run();
      return TRAINING_RUN_FINISHED;
    }
    if (arguments.settings().isEmpty()) {
      err.println(PROGRAM + ": the option --settings is required");
      return ExitCode.USAGE;
    }
    return readSettingsAndServe(arguments);
  }

  private int readSettingsAndServe(GatewayArguments arguments) {
    Path file = Path.of(arguments.settings());
    Either<List<SettingsFault>, GatewaySettings> settings = GatewaySettings.read(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(fault -> err.println(fault.message()));
      return ExitCode.USAGE;
    }
    if (arguments.isCheck()) {
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
   * Binds the callers' address before anything else is set up, logging included: a caller whose
   * connection waits is served a moment later, one whose connection is refused goes away.
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
