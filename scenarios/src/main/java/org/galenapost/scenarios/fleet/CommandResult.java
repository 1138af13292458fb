package org.galenapost.scenarios.fleet;

/**
 * The result of a run of the operators' tool.
 *
 * @param exitCode the exit code of the process
 * @param output the merged standard output and standard error
 */
public record CommandResult(int exitCode, String output) {}
