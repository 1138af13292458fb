package org.galenapost.scenarios.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds command lines that run a main class in a small JVM with the class path of this process.
 */
public final class JavaCommand {

  private static final String HEAP = "-Xmx128m";

  private static final String LOG_CONFIGURATION = "-Dlog4j2.configurationFile=log4j2.json";

  private JavaCommand() {}

  /**
   * Returns the command line for a main class.
   *
   * @param mainClass the fully qualified name of the main class
   * @param arguments the program arguments
   */
  public static List<String> of(String mainClass, List<String> arguments) {
    return of(List.of(), mainClass, arguments);
  }

  /**
   * Returns the command line for a main class that logs to standard error. The logging
   * configuration is selected explicitly, because another module's may come first on the class
   * path.
   *
   * @param mainClass the fully qualified name of the main class
   * @param arguments the program arguments
   */
  public static List<String> withLog(String mainClass, List<String> arguments) {
    return withLog(List.of(), mainClass, arguments);
  }

  /**
   * Returns the command line for a main class that logs to standard error, with further options of
   * the JVM. Of two options that set the same limit, such as the heap, the later one holds.
   *
   * @param jvmOptions the options, which follow the usual ones
   * @param mainClass the fully qualified name of the main class
   * @param arguments the program arguments
   */
  public static List<String> withLog(
      List<String> jvmOptions, String mainClass, List<String> arguments) {
    List<String> options = new ArrayList<>(jvmOptions);
    options.add(LOG_CONFIGURATION);
    return of(options, mainClass, arguments);
  }

  private static List<String> of(
      List<String> jvmOptions, String mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add(HEAP);
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-Xshare:auto");
    command.addAll(jvmOptions);
    command.add("-cp");
    command.add(classPath());
    command.add(mainClass);
    command.addAll(arguments);
    return command;
  }

  private static String classPath() {
    String ownClassPath = System.getProperty("java.class.path");
    return System.getProperty("surefire.test.class.path", ownClassPath);
  }
}
