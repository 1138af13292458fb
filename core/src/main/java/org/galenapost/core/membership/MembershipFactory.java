package org.galenapost.core.membership;

/** Creates the membership once the listen address of this daemon is known. */
@FunctionalInterface
public interface MembershipFactory {

  /** Creates a membership that contains only this daemon. */
  Membership create(MemberRecord self);
}
