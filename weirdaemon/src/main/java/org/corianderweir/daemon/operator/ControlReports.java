package org.corianderweir.daemon.operator;

import java.util.concurrent.CompletableFuture;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/** Answers what operators ask about the configuration's past and its spread. */
final class ControlReports {
  private static final int STATUS_OK = 200;

  private final ConfigurationService configuration;
  private final MembershipService membership;

  ControlReports(ConfigurationService configuration, MembershipService membership) {
    this.configuration = configuration;
    this.membership = membership;
  }

  CompletableFuture<HttpReply> inForce(HttpCall call) {
    long current = configuration.inForce().revision();
    return membership.inForce(number(call, "revision", current)).thenApply(ControlReports::json);
  }

  CompletableFuture<HttpReply> history() {
    return CompletableFuture.completedFuture(
        json(new OperatorMessages.History(configuration.history())));
  }

  CompletableFuture<HttpReply> difference(HttpCall call) {
    long current = configuration.inForce().revision();
    long to = number(call, "to", current);
    return configuration
        .difference(number(call, "from", Math.max(0, to - 1)), to)
        .thenApply(ControlReports::json);
  }

  private static long number(HttpCall call, String name, long fallback) {
    String text = call.parameter(name, "");
    try {
      return text.isEmpty() ? fallback : Long.parseLong(text);
    } catch (NumberFormatException notANumber) {
      throw new WeirException(ErrorCode.CONFIGURATION_INVALID, name + " is not a number: " + text);
    }
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }
}
