package org.galenapost.daemon.settings;

/**
 * A fault of a settings file.
 *
 * @param file the path of the file as given on the command line
 * @param path the faulty key, such as {@code caller.port}, the line of malformed YAML, or {@code
 *     (file)}
 * @param expected the accepted values
 * @param found the value in the file, or its type
 */
public record SettingsFault(String file, String path, String expected, String found) {

  /** Returns a one-line message for the operator. */
  public String message() {
    return file + ": " + path + ": expected " + expected + ", but found " + found;
  }
}
