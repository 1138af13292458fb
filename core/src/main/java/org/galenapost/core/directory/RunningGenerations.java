package org.galenapost.core.directory;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Tracks the location of running generations, so that a repeated request can find them. */
public interface RunningGenerations {

  /** An implementation that stores no entries. */
  RunningGenerations NONE =
      new RunningGenerations() {
        @Override
        public void publish(DirectoryKey key, DirectoryEntry entry) {}

        @Override
        public CompletionStage<Optional<DirectoryEntry>> find(DirectoryKey key) {
          return CompletableFuture.completedFuture(Optional.empty());
        }
      };

  /** Publishes the location of a running generation. */
  void publish(DirectoryKey key, DirectoryEntry entry);

  /** Looks up a running generation; empty if no entry is found before the query times out. */
  CompletionStage<Optional<DirectoryEntry>> find(DirectoryKey key);
}
