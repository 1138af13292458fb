package org.galenapost.core.fleet;

/** The kind of a backend server: model engine or plain service. */
public enum ServerKind {
  ENGINE,
  SERVICE
}
