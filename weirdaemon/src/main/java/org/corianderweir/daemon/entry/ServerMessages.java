package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.corianderweir.http.HopByHop;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.logic.traffic.RequestFacts;
import org.corianderweir.logic.traffic.RequestPlan;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.model.traffic.ServerEntry;

/** Turns callers' messages into those for backend servers and back. */
final class ServerMessages {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_BEYOND_SUCCESS = 300;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final String CONTENT_ENCODING = "Content-Encoding";

  private final HeaderNames names;
  private final Set<String> ownFields;

  ServerMessages(HeaderNames names) {
    this.names = names;
    ownFields =
        Set.of(
            names.accessKey().toLowerCase(Locale.ROOT),
            names.organisation().toLowerCase(Locale.ROOT),
            names.expectedServer().toLowerCase(Locale.ROOT),
            names.deadlineMilliseconds().toLowerCase(Locale.ROOT));
  }

  /** Reads what a request says of itself. */
  RequestFacts facts(HttpCall call) {
    HttpHeaders headers = call.headers();
    return new RequestFacts(
        headers.first(names.requestIdentifier()).orElse(""),
        headers.first("Host").orElse(""),
        call.path(),
        headers.first(names.accessKey()),
        headers.first(names.affinity()),
        number(headers.first(names.deadlineMilliseconds())));
  }

  /** Returns the request as a server gets it. */
  HttpCall forServer(HttpCall call, RequestPlan plan, ServerEntry server, Duration timeLeft) {
    HttpHeaders headers = HopByHop.strip(call.headers()).without(ownFields);
    headers =
        headers
            .with("Host", plan.facts().host())
            .with(names.deadlineMilliseconds(), Long.toString(timeLeft.toMillis()))
            .with(names.expectedServer(), server.identifier());
    if (plan.organisation().isPresent()) {
      headers = headers.with(names.organisation(), plan.organisation().get().name());
    }
    return new HttpCall(call.method(), call.target(), headers, call.body());
  }

  /** Returns a server's answer as the caller gets it. */
  HttpReply forCaller(HttpReply reply) {
    return new HttpReply(reply.status(), HopByHop.strip(reply.headers()), reply.body());
  }

  /** Says what an answer means; one that is not the server's own is lost. */
  SendOutcome outcome(HttpReply reply) {
    SendOutcome.LoadReport report =
        new SendOutcome.LoadReport(
            load(reply.headers().first(names.serverLoad())),
            number(reply.headers().first(names.coldMilliseconds())));
    boolean misdirected = reply.status() == STATUS_MISDIRECTED;
    if (misdirected || reply.headers().first(names.notRun()).isPresent()) {
      return new SendOutcome.NotRun(misdirected, report);
    }
    boolean success = reply.status() >= FIRST_SUCCESS && reply.status() < FIRST_BEYOND_SUCCESS;
    boolean stamped = reply.headers().first(names.serverStamp()).isPresent();
    boolean encoded = reply.headers().first(CONTENT_ENCODING).isPresent();
    if (!stamped || (success && encoded)) {
      return new SendOutcome.Lost();
    }
    return new SendOutcome.Answered(success, reply.status() >= FIRST_SERVER_ERROR, report);
  }

  /** Reads a load: running requests, waiting requests, slots. */
  private static OptionalLong load(Optional<String> text) {
    String[] parts = text.orElse("").split(",");
    if (parts.length < 2) {
      return OptionalLong.empty();
    }
    OptionalLong running = number(Optional.of(parts[0].trim()));
    OptionalLong waiting = number(Optional.of(parts[1].trim()));
    return running.isPresent() && waiting.isPresent()
        ? OptionalLong.of(running.getAsLong() + waiting.getAsLong())
        : OptionalLong.empty();
  }

  private static OptionalLong number(Optional<String> text) {
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text.get().trim()));
    } catch (NumberFormatException notANumber) {
      return OptionalLong.empty();
    }
  }
}
