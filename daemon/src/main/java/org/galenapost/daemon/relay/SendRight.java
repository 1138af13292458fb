package org.galenapost.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionPermit;
import org.galenapost.daemon.caller.ServiceAnswer;

/** The right to send a call: unlimited for an idempotent one, once for a claimed action. */
interface SendRight {

  /** Returns the id of the claimed attempt, if there is one. */
  Optional<String> attemptId();

  /** Asks whether the first byte may leave now. */
  boolean trySend();

  /** Records that the call ran. */
  void ran(ServiceAnswer answer);

  /** Records that the call was sent and its outcome is not known. */
  void outcomeUnknown();

  /** Gives the right back without the call having left. */
  void release();

  /** Returns the right of an idempotent call. */
  static SendRight unlimited() {
    return new SendRight() {
      @Override
      public Optional<String> attemptId() {
        return Optional.empty();
      }

      @Override
      public boolean trySend() {
        return true;
      }

      @Override
      public void ran(ServiceAnswer answer) {}

      @Override
      public void outcomeUnknown() {}

      @Override
      public void release() {}
    };
  }

  /** Returns the right that a claim's permit gives. */
  static SendRight once(ActionPermit permit) {
    return new SendRight() {
      @Override
      public Optional<String> attemptId() {
        return Optional.of(permit.attemptId());
      }

      @Override
      public boolean trySend() {
        return permit.trySend();
      }

      @Override
      public void ran(ServiceAnswer answer) {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        permit.recordAnswer(
            new ActionAnswer(answer.httpStatus(), answer.contentType(), Optional.of(body)));
      }

      @Override
      public void outcomeUnknown() {
        permit.recordOutcomeUnknown();
      }

      @Override
      public void release() {
        permit.release();
      }
    };
  }
}
