package org.galenapost.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionPermit;
import org.galenapost.daemon.caller.ServiceAnswer;

/** The right to send a call: unlimited for an idempotent one, once for a claimed action. */
interface SendPermit {

  /** Returns the id of the claimed attempt, if there is one. */
  Optional<String> attemptId();

  /** Asks whether the first byte may leave now. */
  boolean trySend();

  /** Records that the call ran. */
  void recordAnswer(ServiceAnswer answer);

  /** Records that the call was sent and its outcome is not known. */
  void recordOutcomeUnknown();

  /** Gives the right back without the call having left. */
  void release();

  /** Returns the right of an idempotent call. */
  static SendPermit unlimited() {
    return new SendPermit() {
      @Override
      public Optional<String> attemptId() {
        return Optional.empty();
      }

      @Override
      public boolean trySend() {
        return true;
      }

      @Override
      public void recordAnswer(ServiceAnswer answer) {}

      @Override
      public void recordOutcomeUnknown() {}

      @Override
      public void release() {}
    };
  }

  /** Returns the right that a claim's permit gives. */
  static SendPermit once(ActionPermit permit) {
    return new SendPermit() {
      @Override
      public Optional<String> attemptId() {
        return Optional.of(permit.attemptId());
      }

      @Override
      public boolean trySend() {
        return permit.trySend();
      }

      @Override
      public void recordAnswer(ServiceAnswer answer) {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        permit.recordAnswer(
            new ActionAnswer(answer.httpStatus(), answer.contentType(), Optional.of(body)));
      }

      @Override
      public void recordOutcomeUnknown() {
        permit.recordOutcomeUnknown();
      }

      @Override
      public void release() {
        permit.release();
      }
    };
  }
}
