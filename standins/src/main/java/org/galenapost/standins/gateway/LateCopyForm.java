package org.galenapost.standins.gateway;

/** What comes of the late second copy of a server's answer, and when. */
public enum LateCopyForm {
  /** The whole copy, just before the next answer on the connection. */
  WHOLE,
  /** The whole copy, while the connection is idle. */
  WHOLE_WHILE_IDLE,
  /** A part of its head, while the connection is idle. */
  PART_OF_HEAD_WHILE_IDLE,
  /** A part of its head, just before the next answer on the connection. */
  PART_OF_HEAD,
  /** Its head and a part of its body, just before the next answer on the connection. */
  PART_OF_BODY,
  /** A few bytes that are no head, while the connection is idle. */
  NO_HEAD_WHILE_IDLE,
  /** In two pieces, just before and just after the next answer on the connection. */
  SPLIT;

  boolean comesWhileIdle() {
    return this == WHOLE_WHILE_IDLE
        || this == PART_OF_HEAD_WHILE_IDLE
        || this == NO_HEAD_WHILE_IDLE;
  }
}
