package org.galenapost.scenarios.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * How the processes of daemons are started besides their settings.
 *
 * @param jvmOptions further options of the JVM, which win over the usual ones
 * @param maxDescriptors the number of file descriptors that a process may open; empty for the limit
 *     of this process
 */
record ProcessOptions(List<String> jvmOptions, OptionalInt maxDescriptors) {

  /** No further options and limits. */
  static final ProcessOptions NONE = new ProcessOptions(List.of(), OptionalInt.empty());

  ProcessOptions {
    jvmOptions = List.copyOf(jvmOptions);
  }

  /** Returns options that add to those of the JVM only. */
  static ProcessOptions ofJvm(List<String> jvmOptions) {
    return new ProcessOptions(jvmOptions, OptionalInt.empty());
  }

  /** Returns a copy with a limit of file descriptors. */
  ProcessOptions withMaxDescriptors(int count) {
    return new ProcessOptions(jvmOptions, OptionalInt.of(count));
  }

  /** Returns the command line that runs a command under the limits. */
  List<String> limit(List<String> command) {
    if (maxDescriptors.isEmpty()) {
      return command;
    }
    List<String> limited = new ArrayList<>();
    limited.add("/bin/sh");
    limited.add("-c");
    limited.add("ulimit -n " + maxDescriptors.getAsInt() + "; exec \"$@\"");
    limited.add("sh");
    limited.addAll(command);
    return limited;
  }
}
