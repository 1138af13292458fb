package org.galenapost.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.Settings;
import org.galenapost.daemon.settings.SettingsFault;
import org.galenapost.daemon.wiring.Daemon;
import org.galenapost.daemon.wiring.DaemonBuilder;
import org.galenapost.daemon.wiring.Mechanisms;

/** The program {@code galenapostd}. */
public final class Galenapostd {

  private static final EventLog LOG = EventLog.of(Galenapostd.class);
  private static final String PROGRAM = "galenapostd";

  private final PrintStream out;
  private final PrintStream err;
  private final Mechanisms mechanisms;

  private Galenapostd(PrintStream out, PrintStream err, Mechanisms mechanisms) {
    this.out = out;
    this.err = err;
    this.mechanisms = mechanisms;
  }

  /** Runs the daemon with the mechanisms that it ships with. */
  public static void main(String[] args) {
    run(args, Mechanisms.standard());
  }

  /**
   * Runs the daemon until it gets SIGTERM; returns once it serves, or ends the process if it
   * cannot.
   *
   * @param args the command line
   * @param mechanisms the mechanisms, for a program that replaces one
   */
  public static void run(String[] args, Mechanisms mechanisms) {
    int code = new Galenapostd(System.out, System.err, mechanisms).start(args);
    if (code != ExitCode.SUCCESS) {
      LogManager.shutdown();
      System.exit(code);
    }
  }

  /** Checks a command line without starting a daemon, and returns the exit code. */
  static int check(PrintStream out, PrintStream err, String... args) {
    return new Galenapostd(out, err, Mechanisms.standard()).start(args);
  }

  private int start(String... args) {
    Arguments arguments = new Arguments();
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
    return readSettingsAndServe(arguments);
  }

  private int readSettingsAndServe(Arguments arguments) {
    Either<List<SettingsFault>, Settings> settings = Settings.read(Path.of(arguments.settings()));
    if (settings.isLeft()) {
      settings.getLeft().forEach(fault -> err.println(fault.message()));
      return ExitCode.USAGE;
    }
    if (arguments.isCheck()) {
      out.println(arguments.settings() + ": no fault found");
      return ExitCode.SUCCESS;
    }
    return serve(settings.get());
  }

  private int serve(Settings settings) {
    Daemon daemon = DaemonBuilder.build(settings, mechanisms);
    try {
      daemon.start();
    } catch (ServiceStartException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return ExitCode.START_FAILED;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    printListening("operator", settings.operator().address().ip(), daemon.operatorPort());
    printListening("peer", settings.peer().address().ip(), daemon.peerPort());
    printListening("caller", settings.caller().address().ip(), daemon.callerPort());
    return ExitCode.SUCCESS;
  }

  private void printListening(String role, String ip, int port) {
    out.println("event=listening role=" + role + " ip=" + ip + " port=" + port);
    out.flush();
  }

  private static void shutDown(Daemon daemon) {
    LOG.info("shutdown_requested").write();
    daemon.drainAndStop();
    LogManager.shutdown();
    Runtime.getRuntime().halt(ExitCode.SUCCESS);
  }
}
