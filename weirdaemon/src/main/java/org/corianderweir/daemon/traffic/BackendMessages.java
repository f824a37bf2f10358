package org.corianderweir.daemon.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.http.HopByHop;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeader;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.configuration.BackendServer;

/**
 * Writes the messages to backend servers and to callers. The system's own fields are never handed
 * on in either direction; it sets them itself.
 */
final class BackendMessages {
  private final String instanceName;

  BackendMessages(String instanceName) {
    this.instanceName = instanceName;
  }

  /** Returns the request as a backend server gets it. */
  HttpCall forwarded(RequestContext context, long remainingNanoseconds) {
    HttpCall call = context.call();
    List<HttpHeader> fields = foreignFields(call.headers());
    long remainingMilliseconds = Duration.ofNanos(remainingNanoseconds).toMillis();
    fields.add(new HttpHeader(CallerHeaders.REQUEST, context.name()));
    fields.add(
        new HttpHeader(CallerHeaders.DEADLINE_MILLISECONDS, Long.toString(remainingMilliseconds)));
    context
        .organisation()
        .ifPresent(name -> fields.add(new HttpHeader(CallerHeaders.ORGANISATION, name)));
    return new HttpCall(call.method(), call.target(), new HttpHeaders(fields), call.body());
  }

  /** Returns a backend server's answer as the caller gets it. */
  HttpReply returned(BackendServer server, HttpReply answer) {
    List<HttpHeader> fields = foreignFields(answer.headers());
    fields.add(new HttpHeader(CallerHeaders.BACKEND_SERVER, server.name()));
    fields.add(new HttpHeader(CallerHeaders.ENTRY_INSTANCE, instanceName));
    return new HttpReply(answer.status(), new HttpHeaders(fields), answer.body());
  }

  private static List<HttpHeader> foreignFields(HttpHeaders headers) {
    List<HttpHeader> fields = new ArrayList<>();
    for (HttpHeader field : HopByHop.strip(headers).fields()) {
      if (!CallerHeaders.isOwn(field.name())) {
        fields.add(field);
      }
    }
    return fields;
  }
}
