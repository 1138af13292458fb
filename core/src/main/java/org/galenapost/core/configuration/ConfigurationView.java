package org.galenapost.core.configuration;

import java.util.Collection;
import java.util.Optional;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.profile.Profile;

/** A read-only view of the configuration in force at this daemon; every call reads memory only. */
public interface ConfigurationView {

  /** Finds a profile by name. */
  Optional<Profile> profile(String name);

  /**
   * Finds the workspace that owns a bearer key.
   *
   * @param key the key as the caller sent it
   */
  Optional<Workspace> workspaceByKey(String key);

  /** Finds a workspace by name. */
  Optional<Workspace> workspace(String name);

  /** Returns the known backend servers, including those that are leaving. */
  Collection<BackendServer> servers();

  /** Returns the highest revision in force, 0 before the first. */
  long revision();

  /** Returns whether any revision is in force. */
  boolean isReady();
}
