package org.galenapost.core.action;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.galenapost.core.verdict.Refusal;

/** The result of a {@link ClaimOperation}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimResult.Done.class, name = "done"),
  @JsonSubTypes.Type(value = ClaimResult.Recorded.class, name = "recorded"),
  @JsonSubTypes.Type(value = ClaimResult.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = ClaimResult.Unresolved.class, name = "unresolved")
})
public sealed interface ClaimResult {

  /** The change is stored in the platform's object API. */
  record Done() implements ClaimResult {}

  /**
   * The action has already run and its response is recorded.
   *
   * @param answer the recorded response
   */
  record Recorded(ActionAnswer answer) implements ClaimResult {
    /** Checks that the answer is present. */
    public Recorded {
      Objects.requireNonNull(answer, "answer");
    }
  }

  /**
   * The change was refused and is certainly not stored.
   *
   * @param refusal the refusal
   */
  record Refused(Refusal refusal) implements ClaimResult {
    /** Checks that the refusal is present. */
    public Refused {
      Objects.requireNonNull(refusal, "refusal");
    }
  }

  /** It is unknown whether the change is stored. */
  record Unresolved() implements ClaimResult {}
}
