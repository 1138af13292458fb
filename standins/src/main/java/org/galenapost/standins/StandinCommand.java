package org.galenapost.standins;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;

/** A subcommand of {@code galenapost-standin}, with the options that all subcommands share. */
public abstract class StandinCommand {

  @Parameter(names = "--port", description = "loopback port; 0 selects a free one")
  protected int port;

  @Parameter(names = "--port-file", description = "file to write the port to")
  protected Path portFile;

  @Parameter(
      names = "--control-port-file",
      description = "file to write the control port to, if it differs from the port")
  protected Path controlPortFile;

  @Parameter(names = "--help", help = true, description = "print the options")
  protected boolean isHelp;

  /** Returns the name of the subcommand. */
  public abstract String role();

  /** Creates the stand-in that the options describe. */
  public abstract Standin create();
}
