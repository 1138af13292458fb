package org.galenapost.daemon.engine;

import org.galenapost.core.generation.EngineEvent;

/** Receives one engine stream in order, on the event loop of its connection. */
public interface EngineListener {

  /** Called for each chunk of the stream. */
  void onEvent(EngineEvent event);

  /** Called once when the stream has ended. No other call follows. */
  void onEnd(StreamEnd end);
}
