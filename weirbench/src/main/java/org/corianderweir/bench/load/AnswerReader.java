package org.corianderweir.bench.load;

import org.corianderweir.bench.backend.BackendStandIn;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;

/** Turns an answer or a failure into the end of an attempt. */
final class AnswerReader {
  private static final int FIRST_ERROR_STATUS = 400;
  private static final String SERVER_REFUSED = "Server-Refused";

  private AnswerReader() {}

  static void read(CallRecord.Builder attempt, HttpReply reply, long nowNanoseconds) {
    String refusal = reply.headers().first(CallerHeaders.REFUSAL).orElse("");
    String shed = reply.headers().first(SERVER_REFUSED).orElse("");
    if (!refusal.isEmpty()) {
      attempt
          .refusal(refusal, reply.headers().first(CallerHeaders.EXECUTION).orElse(""))
          .ended(CallRecord.Outcome.REFUSED, reply.status(), nowNanoseconds);
    } else if (!shed.isEmpty()) {
      attempt
          .refusal("shed", shed)
          .ended(CallRecord.Outcome.REFUSED, reply.status(), nowNanoseconds);
    } else if (reply.status() >= FIRST_ERROR_STATUS) {
      attempt
          .refusal("server-error", "")
          .ended(CallRecord.Outcome.REFUSED, reply.status(), nowNanoseconds);
    } else {
      readBody(attempt, reply);
      attempt.ended(CallRecord.Outcome.ANSWERED, reply.status(), nowNanoseconds);
    }
  }

  static void fail(CallRecord.Builder attempt, Throwable failure, long nowNanoseconds) {
    Throwable cause = failure.getCause() instanceof WeirException typed ? typed : failure;
    boolean unsent =
        cause instanceof WeirException typed && typed.code() == ErrorCode.CONNECT_FAILED;
    attempt.ended(
        unsent ? CallRecord.Outcome.UNREACHABLE : CallRecord.Outcome.LOST, 0, nowNanoseconds);
  }

  /** A body that can't be read names nothing, which the observer sees. */
  private static void readBody(CallRecord.Builder attempt, HttpReply reply) {
    try {
      BackendStandIn.Answer answer = Json.read(reply.bodyText(), BackendStandIn.Answer.class);
      attempt.answer(answer.request(), answer.organisation(), answer.server());
    } catch (WeirException notWhole) {
      attempt.answer("", "", "");
    }
  }
}
