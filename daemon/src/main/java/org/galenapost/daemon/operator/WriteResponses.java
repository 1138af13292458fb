package org.galenapost.daemon.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonUnwrapped;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.galenapost.core.configuration.ConfigurationFault;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.galenapost.core.configuration.FieldDifference;
import org.galenapost.core.configuration.WriteFailure;
import org.galenapost.core.json.Json;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.http.ProblemDocument;

/** Turns the results of configuration writes into answers. */
final class WriteResponses {

  private static final int CONFLICT = 409;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
  private static final String NO_REQUEST_ID = "";

  private WriteResponses() {}

  static OperatorResponse of(Either<WriteFailure, ConfigurationRecord> result) {
    return result.fold(
        WriteResponses::toResponse, record -> OperatorResponse.ok(ObjectDocument.of(record)));
  }

  private static OperatorResponse toResponse(WriteFailure failure) {
    if (failure instanceof WriteFailure.Invalid invalid) {
      Refusal refusal = Refusal.notRun(RefusalReason.BAD_REQUEST, describe(invalid.faults()));
      return problem(new InvalidObjectProblem(problemOf(refusal), invalid.faults()));
    }
    if (failure instanceof WriteFailure.Conflict conflict) {
      return conflict(conflict);
    }
    if (failure instanceof WriteFailure.Unavailable unavailable) {
      return OperatorResponse.refused(
          Refusal.notRun(RefusalReason.PLATFORM_UNAVAILABLE, unavailable.detail())
              .withRetryAfter(RETRY_AFTER));
    }
    WriteFailure.OutcomeUnknown unknown = (WriteFailure.OutcomeUnknown) failure;
    return OperatorResponse.refused(
        Refusal.mayHaveRun(RefusalReason.PLATFORM_UNAVAILABLE, unknown.detail())
            .withRetryAfter(RETRY_AFTER));
  }

  private static OperatorResponse conflict(WriteFailure.Conflict conflict) {
    ConflictProblem document =
        new ConflictProblem(
            "urn:galenapost:conflict",
            "conflict",
            CONFLICT,
            "Another change came first; read it and write again.",
            "not-run",
            "conflict",
            conflict.current().map(ObjectDocument::of).orElse(null),
            conflict.differences());
    return new OperatorResponse(CONFLICT, ProblemDocument.CONTENT_TYPE, Json.write(document));
  }

  private static OperatorResponse problem(InvalidObjectProblem document) {
    return new OperatorResponse(
        document.problem().status(), ProblemDocument.CONTENT_TYPE, Json.write(document));
  }

  private static ProblemDocument problemOf(Refusal refusal) {
    return ProblemDocument.of(refusal, NO_REQUEST_ID);
  }

  private static String describe(List<ConfigurationFault> faults) {
    return faults.size() + " faults; the first is " + faults.get(0).describe();
  }

  /** A problem document with all faults of an object. */
  private record InvalidObjectProblem(
      @JsonUnwrapped ProblemDocument problem, List<ConfigurationFault> faults) {}

  /** A problem document with the change that came first. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record ConflictProblem(
      String type,
      String title,
      int status,
      String detail,
      String verdict,
      String reason,
      ObjectDocument current,
      List<FieldDifference> differences) {}
}
