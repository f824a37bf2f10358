package org.corianderweir.daemon.traffic;

import org.corianderweir.http.HttpReply;
import org.corianderweir.model.request.Refusal;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.protocol.Json;

/** Writes refusals as HTTP answers. */
final class Refusals {
  private static final String RETRY_AFTER_SECONDS = "1";

  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private Refusals() {}

  static HttpReply reply(RefusalReason reason, String message, String instanceName) {
    HttpReply reply =
        HttpReply.json(reason.status(), Json.write(Refusal.of(reason, message)))
            .with(CallerHeaders.REFUSAL, reason.code())
            .with(CallerHeaders.EXECUTION, reason.execution().text())
            .with(CallerHeaders.ENTRY_INSTANCE, instanceName);
    boolean worthRepeating =
        switch (reason) {
          case NO_CAPACITY, NOT_SERVING, KEYS_STALE, BACKEND_UNREACHABLE -> true;
          default -> false;
        };
    return worthRepeating ? reply.with("Retry-After", RETRY_AFTER_SECONDS) : reply;
  }

  /** Adds the time after which a repetition may be admitted, in whole seconds, rounded up. */
  static HttpReply retryAfter(HttpReply reply, long milliseconds) {
    long seconds = Math.max(1, Math.ceilDiv(milliseconds, MILLISECONDS_PER_SECOND));
    return reply.with("Retry-After", Long.toString(seconds));
  }
}
