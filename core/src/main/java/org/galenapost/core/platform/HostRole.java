package org.galenapost.core.platform;

/** The type of process that a host runs. */
public enum HostRole {
  DAEMON,
  ENGINE,
  SERVICE
}
