package org.galenapost.core.rollout;

/** A send to a server of a service that is watched for roll-outs; it ends once. */
public interface RolloutSend {

  /** A send of a daemon that knows no roll-outs. */
  RolloutSend NONE =
      new RolloutSend() {
        @Override
        public void onFirstEvent(double elapsedMs) {
          // Nobody asks for it.
        }

        @Override
        public void end(AnswerOutcome outcome, double elapsedMs) {
          // Nobody asks for it.
        }

        @Override
        public void abandon() {
          // Nobody asks for it.
        }
      };

  /**
   * Records the first event of a stream, so that a slow version is found before its streams end.
   *
   * @param elapsedMs the time since the send, in milliseconds
   */
  void onFirstEvent(double elapsedMs);

  /**
   * Records the end of the send. The good end of a stream that has had an event adds nothing.
   *
   * @param outcome how it ended
   * @param elapsedMs the time since the send, in milliseconds
   */
  void end(AnswerOutcome outcome, double elapsedMs);

  /** Ends a send that says nothing about the server's version. */
  void abandon();
}
