package org.galenapost.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.galenapost.core.action.ActionAnswer;
import org.galenapost.core.action.ActionPermit;
import org.galenapost.daemon.caller.ServiceAnswer;

/**
 * Permission to send a call. An idempotent call may be sent any number of times, a claimed action
 * once.
 */
interface SendPermit {

  /** Returns the id of the claimed attempt, empty for an idempotent call. */
  Optional<String> attemptId();

  /**
   * Returns whether the first byte may be sent now; after true, a claimed action counts as sent.
   */
  boolean trySend();

  /** Records the answer of a call that ran. */
  void recordAnswer(ServiceAnswer answer);

  /** Records that the call was sent and that its outcome is unknown. */
  void recordOutcomeUnknown();

  /** Releases the claim of a call that was not sent. */
  void release();

  /** Returns the permit of an idempotent call. */
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

  /** Returns the permit of a claimed action. */
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
