package org.galenapost.core.profile;

/** The priority of a request within its workspace. */
public enum Urgency {
  HIGH,
  NORMAL,
  LOW
}
