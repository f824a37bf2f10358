package org.corianderweir.bench.load;

import org.corianderweir.bench.backend.BackendStandIn;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;

/** Records a response or a failure as the outcome of an attempt. */
final class ResponseReader {
  private static final int FIRST_ERROR_STATUS = 400;
  private static final String SERVER_REFUSED_HEADER = "Server-Refused";

  private ResponseReader() {}

  static void recordResponse(
      CallRecord.Builder attempt, HttpResponse response, long nowNanoseconds) {
    String refusal = response.headers().first(CallerHeaders.REFUSAL).orElse("");
    String serverRefusal = response.headers().first(SERVER_REFUSED_HEADER).orElse("");
    if (!refusal.isEmpty()) {
      attempt
          .refusal(refusal, response.headers().first(CallerHeaders.EXECUTION).orElse(""))
          .ended(CallRecord.Outcome.REFUSED, response.status(), nowNanoseconds);
    } else if (!serverRefusal.isEmpty()) {
      attempt
          .refusal("shed", serverRefusal)
          .ended(CallRecord.Outcome.REFUSED, response.status(), nowNanoseconds);
    } else if (response.status() >= FIRST_ERROR_STATUS) {
      attempt
          .refusal("server-error", "")
          .ended(CallRecord.Outcome.REFUSED, response.status(), nowNanoseconds);
    } else {
      readBody(attempt, response);
      attempt.ended(CallRecord.Outcome.ANSWERED, response.status(), nowNanoseconds);
    }
  }

  static void recordFailure(CallRecord.Builder attempt, Throwable failure, long nowNanoseconds) {
    Throwable cause = failure.getCause() instanceof WeirException typed ? typed : failure;
    boolean unsent =
        cause instanceof WeirException typed && typed.code() == ErrorCode.CONNECT_FAILED;
    attempt.ended(
        unsent ? CallRecord.Outcome.UNREACHABLE : CallRecord.Outcome.LOST, 0, nowNanoseconds);
  }

  /**
   * Records what the body names. A body that can't be read is recorded with empty names, so that
   * the observer sees it.
   */
  private static void readBody(CallRecord.Builder attempt, HttpResponse response) {
    try {
      BackendStandIn.Answer answer = Json.read(response.bodyText(), BackendStandIn.Answer.class);
      attempt.answer(answer.request(), answer.organisation(), answer.server());
    } catch (WeirException incompleteBody) {
      attempt.answer("", "", "");
    }
  }
}
